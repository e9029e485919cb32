package org.redwinghook.systemtests.deployment;

import java.util.List;
import java.util.Random;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.systemtests.history.Event;
import org.redwinghook.systemtests.history.History;

/** Faults of a schedule. A gentle fault must not cut any request. */
public enum Fault {
    /** A process dies and comes back. */
    KILL(false) {
        @Override
        Runnable begin(Context scene, Random random) {
            Vm vm = scene.randomVm(random);
            scene.deployment().kill(vm);
            return () -> scene.deployment().startProcess(vm);
        }
    },
    /** An engine dies and loses all generations. */
    CRASH_ENGINE(false) {
        @Override
        Runnable begin(Context scene, Random random) {
            int millis = random.nextInt(500);
            scene.deployment()
                    .engine(scene.randomVm(random, ServiceKind.ENGINE))
                    .crash(millis);
            return () -> {};
        }
    },
    /** A plain service dies before or after the effect of a call. */
    CRASH_PLAIN_SERVICE(false) {
        @Override
        Runnable begin(Context scene, Random random) {
            boolean isAfter = random.nextBoolean();
            scene.deployment()
                    .plainService(scene.randomVm(random, ServiceKind.PLAIN))
                    .faults()
                    .update(faults -> isAfter ? faults.withDieAfterEffectNext(1) : faults.withDieBeforeEffectNext(1));
            return () -> {};
        }
    },
    /** A link between a sidecar and routers or its endpoint is cut or stalled, in one direction or both. */
    BROKEN_LINK(false) {
        @Override
        Runnable begin(Context scene, Random random) {
            Relay.Mode mode = Relay.Mode.values()[1 + random.nextInt(Relay.Mode.values().length - 1)];
            return injectLinkFault(scene, random, mode);
        }
    },
    /** The same link, several times in a row, so that resumptions break too. */
    FLAPPING_LINK(false) {
        @Override
        Runnable begin(Context scene, Random random) {
            Relay relay = scene.deployment().peerLink(scene.randomVm(random));
            relay.setMode(Relay.Mode.DISCONNECT);
            relay.setMode(Relay.Mode.FORWARD);
            Deployment.sleep(random.nextInt(100));
            relay.setMode(Relay.Mode.DISCONNECT);
            return () -> relay.setMode(Relay.Mode.FORWARD);
        }
    },
    /** Appends take effect after they failed. */
    LATE_APPENDS(false) {
        @Override
        Runnable begin(Context scene, Random random) {
            int millis = 1 + random.nextInt(800);
            scene.deployment().log().faults().update(faults -> faults.withApplyLate(3, millis));
            return () -> scene.deployment().log().faults().update(faults -> faults.withApplyLate(0, 0));
        }
    },
    /** A link is slow. */
    SLOW_LINK(true) {
        @Override
        Runnable begin(Context scene, Random random) {
            return injectLinkFault(scene, random, Relay.Mode.DELAY);
        }
    },
    /** Answers of appends are lost. */
    LOST_APPEND_RESPONSES(true) {
        @Override
        Runnable begin(Context scene, Random random) {
            scene.deployment().log().faults().update(faults -> faults.withLoseAnswerEvery(2));
            return () -> scene.deployment().log().faults().update(faults -> faults.withLoseAnswerEvery(0));
        }
    },
    /** The log is away. */
    LOG_DOWN(true) {
        @Override
        Runnable begin(Context scene, Random random) {
            scene.deployment().log().faults().update(faults -> faults.withDown(true));
            return () -> scene.deployment().log().faults().update(faults -> faults.withDown(false));
        }
    },
    /** The log answers late. */
    LOG_SLOW(true) {
        @Override
        Runnable begin(Context scene, Random random) {
            int millis = random.nextInt(300);
            scene.deployment().log().faults().update(faults -> faults.withDelayMillis(millis));
            return () -> scene.deployment().log().faults().update(faults -> faults.withDelayMillis(0));
        }
    },
    /** A warm engine turns cold. */
    TURN_COLD(true) {
        @Override
        Runnable begin(Context scene, Random random) {
            scene.deployment()
                    .engine(scene.randomVm(random, ServiceKind.ENGINE))
                    .turnCold();
            return () -> {};
        }
    },
    /** Two operators move a data centre at the same time; in the end it is in. */
    WITHDRAW_DATA_CENTRE(true) {
        @Override
        Runnable begin(Context scene, Random random) {
            Vm vm = scene.randomVm(random, ServiceKind.ENGINE);
            Thread rival = new Thread(() -> scene.deployment().setWithdrawn(vm.dataCentre(), false));
            rival.start();
            scene.deployment().setWithdrawn(vm.dataCentre(), true);
            return () -> {
                join(rival);
                scene.deployment().setWithdrawn(vm.dataCentre(), false);
            };
        }
    },
    /** The VM list lags while a VM is marked as leaving. */
    VM_LEAVING(true) {
        @Override
        Runnable begin(Context scene, Random random) {
            Vm vm = scene.randomVm(random, random.nextBoolean() ? ServiceKind.ENGINE : ServiceKind.PLAIN);
            int millis = random.nextInt(500);
            scene.deployment().vmList().faults().update(faults -> faults.withLagMillis(millis));
            scene.deployment().vmList().setLeaving(vm.name(), true);
            return () -> {
                scene.deployment().vmList().setLeaving(vm.name(), false);
                scene.deployment().vmList().faults().update(faults -> faults.withLagMillis(0));
            };
        }
    },
    /** A process is stopped as planned and started again. */
    PLANNED_STOP(true) {
        @Override
        Runnable begin(Context scene, Random random) {
            Vm vm = scene.randomVm(random);
            scene.stopGracefully(vm);
            return () -> scene.deployment().startProcess(vm);
        }
    };

    private final boolean isTolerated;

    Fault(boolean isTolerated) {
        this.isTolerated = isTolerated;
    }

    /**
     * Whether no request may be cut.
     *
     * @return true for planned changes and faults that every request survives
     */
    public boolean isTolerated() {
        return isTolerated;
    }

    /** Begins the fault and returns what ends it. */
    abstract Runnable begin(Context scene, Random random);

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
     * What a fault acts on.
     *
     * @param deployment the processes
     * @param history where planned stops are recorded
     * @param caller knows the requests that run
     * @param toleratedFaultsOnly whether all faults of the schedule are gentle, so that a planned stop is to blame for a cut
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
