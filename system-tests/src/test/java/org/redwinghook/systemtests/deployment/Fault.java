package org.redwinghook.systemtests.deployment;

import java.util.List;
import java.util.Random;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.standins.relay.Relay;
import org.redwinghook.systemtests.history.Event;
import org.redwinghook.systemtests.history.History;

/** Faults that a schedule injects. A tolerated fault must not interrupt any request. */
public enum Fault {
    /** A process is killed and started again. */
    KILL(false) {
        @Override
        Runnable inject(Context context, Random random) {
            Vm vm = context.randomVm(random);
            context.deployment().kill(vm);
            return () -> context.deployment().startProcess(vm);
        }
    },
    /** An engine crashes and loses all generations. */
    CRASH_ENGINE(false) {
        @Override
        Runnable inject(Context context, Random random) {
            int millis = random.nextInt(500);
            context.deployment()
                    .engine(context.randomVm(random, ServiceKind.ENGINE))
                    .crash(millis);
            return () -> {};
        }
    },
    /** A plain service crashes before or after it applies the effect of a call. */
    CRASH_PLAIN_SERVICE(false) {
        @Override
        Runnable inject(Context context, Random random) {
            boolean isAfter = random.nextBoolean();
            context.deployment()
                    .plainService(context.randomVm(random, ServiceKind.PLAIN))
                    .faults()
                    .update(faults -> isAfter ? faults.withDieAfterEffectNext(1) : faults.withDieBeforeEffectNext(1));
            return () -> {};
        }
    },
    /**
     * The link to a process, or from a sidecar to its engine, is disconnected, delayed or stalled. A stall affects one
     * direction or both.
     */
    BROKEN_LINK(false) {
        @Override
        Runnable inject(Context context, Random random) {
            Relay.Mode mode = Relay.Mode.values()[1 + random.nextInt(Relay.Mode.values().length - 1)];
            return injectLinkFault(context, random, mode);
        }
    },
    /** The link to a process is disconnected twice in quick succession, so that resumptions break too. */
    FLAPPING_LINK(false) {
        @Override
        Runnable inject(Context context, Random random) {
            Relay relay = context.deployment().peerLink(context.randomVm(random));
            relay.setMode(Relay.Mode.DISCONNECT);
            relay.setMode(Relay.Mode.FORWARD);
            Deployment.sleep(random.nextInt(100));
            relay.setMode(Relay.Mode.DISCONNECT);
            return () -> relay.setMode(Relay.Mode.FORWARD);
        }
    },
    /** Appends to the log fail and take effect later. */
    LATE_APPENDS(false) {
        @Override
        Runnable inject(Context context, Random random) {
            int millis = 1 + random.nextInt(800);
            context.deployment().log().faults().update(faults -> faults.withApplyLate(3, millis));
            return () -> context.deployment().log().faults().update(faults -> faults.withApplyLate(0, 0));
        }
    },
    /** The link to a process, or from a sidecar to its engine, is slow. */
    SLOW_LINK(true) {
        @Override
        Runnable inject(Context context, Random random) {
            return injectLinkFault(context, random, Relay.Mode.DELAY);
        }
    },
    /** Responses to appends are lost. */
    LOST_APPEND_RESPONSES(true) {
        @Override
        Runnable inject(Context context, Random random) {
            context.deployment().log().faults().update(faults -> faults.withLoseAnswerEvery(2));
            return () -> context.deployment().log().faults().update(faults -> faults.withLoseAnswerEvery(0));
        }
    },
    /** The log is unavailable. */
    LOG_DOWN(true) {
        @Override
        Runnable inject(Context context, Random random) {
            context.deployment().log().faults().update(faults -> faults.withDown(true));
            return () -> context.deployment().log().faults().update(faults -> faults.withDown(false));
        }
    },
    /** The log answers with a delay. */
    LOG_SLOW(true) {
        @Override
        Runnable inject(Context context, Random random) {
            int millis = random.nextInt(300);
            context.deployment().log().faults().update(faults -> faults.withDelayMillis(millis));
            return () -> context.deployment().log().faults().update(faults -> faults.withDelayMillis(0));
        }
    },
    /** A warm engine becomes cold. */
    TURN_COLD(true) {
        @Override
        Runnable inject(Context context, Random random) {
            context.deployment()
                    .engine(context.randomVm(random, ServiceKind.ENGINE))
                    .turnCold();
            return () -> {};
        }
    },
    /** Two operators withdraw and reinstate a data centre at the same time; at the end it is reinstated. */
    WITHDRAW_DATA_CENTRE(true) {
        @Override
        Runnable inject(Context context, Random random) {
            Vm vm = context.randomVm(random, ServiceKind.ENGINE);
            Thread concurrentOperator = new Thread(() -> context.deployment().setWithdrawn(vm.dataCentre(), false));
            concurrentOperator.start();
            context.deployment().setWithdrawn(vm.dataCentre(), true);
            return () -> {
                join(concurrentOperator);
                context.deployment().setWithdrawn(vm.dataCentre(), false);
            };
        }
    },
    /** A VM is marked as leaving and unmarked while the VM list lags. */
    VM_LEAVING(true) {
        @Override
        Runnable inject(Context context, Random random) {
            Vm vm = context.randomVm(random, random.nextBoolean() ? ServiceKind.ENGINE : ServiceKind.PLAIN);
            int millis = random.nextInt(500);
            context.deployment().vmList().faults().update(faults -> faults.withLagMillis(millis));
            context.deployment().vmList().setLeaving(vm.name(), true);
            return () -> {
                context.deployment().vmList().setLeaving(vm.name(), false);
                context.deployment().vmList().faults().update(faults -> faults.withLagMillis(0));
            };
        }
    },
    /** A process is stopped gracefully and started again. */
    PLANNED_STOP(true) {
        @Override
        Runnable inject(Context context, Random random) {
            Vm vm = context.randomVm(random);
            context.stopGracefully(vm);
            return () -> context.deployment().startProcess(vm);
        }
    };

    private final boolean isTolerated;

    Fault(boolean isTolerated) {
        this.isTolerated = isTolerated;
    }

    /**
     * Whether the fault must not interrupt any request.
     *
     * @return true for planned changes and faults that every request survives
     */
    public boolean isTolerated() {
        return isTolerated;
    }

    /** Injects the fault and returns the action that ends it. */
    abstract Runnable inject(Context context, Random random);

    private static Runnable injectLinkFault(Context context, Random random, Relay.Mode mode) {
        boolean isPeerLink = random.nextBoolean();
        Vm vm = isPeerLink ? context.randomVm(random) : context.randomVm(random, ServiceKind.ENGINE);
        Relay relay = isPeerLink
                ? context.deployment().peerLink(vm)
                : context.deployment().endpointLink(vm);
        relay.setMode(mode);
        return () -> relay.setMode(Relay.Mode.FORWARD);
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Deployment and requests that faults act on.
     *
     * @param deployment deployment into which faults are injected
     * @param history history in which planned stops are recorded
     * @param caller caller whose running requests a planned stop must not interrupt
     * @param toleratedFaultsOnly whether the schedule has tolerated faults only, so that an interruption can only come
     *     from a planned stop
     */
    public record Context(Deployment deployment, History history, Caller caller, boolean toleratedFaultsOnly) {

        Vm randomVm(Random random) {
            int kind = random.nextInt(3);
            return randomVm(random, kind == 0 ? null : kind == 1 ? ServiceKind.ENGINE : ServiceKind.PLAIN);
        }

        Vm randomVm(Random random, @Nullable ServiceKind kind) {
            List<Vm> vms = deployment.vms(kind);
            return vms.get(random.nextInt(vms.size()));
        }

        void stopGracefully(Vm vm) {
            if (toleratedFaultsOnly) {
                history.add(new Event.PlannedStopStarted(Deployment.nowMillis(), vm.name(), caller.runningRequests()));
            }
            deployment.stopGracefully(vm);
        }
    }
}
