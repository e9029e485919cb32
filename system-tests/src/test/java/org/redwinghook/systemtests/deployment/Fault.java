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
        Runnable begin(Scene scene, Random random) {
            Vm vm = scene.any(random);
            scene.deployment().kill(vm);
            return () -> scene.deployment().startProcess(vm);
        }
    },
    /** An engine dies and loses all generations. */
    CRASH_ENGINE(false) {
        @Override
        Runnable begin(Scene scene, Random random) {
            int millis = random.nextInt(500);
            scene.deployment().engine(scene.any(random, ServiceKind.ENGINE)).crash(millis);
            return () -> {};
        }
    },
    /** A plain service dies before or after the effect of a call. */
    PLAIN_SERVICE_DIES(false) {
        @Override
        Runnable begin(Scene scene, Random random) {
            boolean isAfter = random.nextBoolean();
            scene.deployment()
                    .plainService(scene.any(random, ServiceKind.PLAIN))
                    .faults()
                    .update(faults -> isAfter ? faults.withDieAfterEffectNext(1) : faults.withDieBeforeEffectNext(1));
            return () -> {};
        }
    },
    /** A link between a sidecar and routers or its endpoint is cut or stalled, in one direction or both. */
    BROKEN_LINK(false) {
        @Override
        Runnable begin(Scene scene, Random random) {
            Relay.Mode mode = Relay.Mode.values()[1 + random.nextInt(Relay.Mode.values().length - 1)];
            return link(scene, random, mode);
        }
    },
    /** The same link, several times in a row, so that resumptions break too. */
    FLAPPING_LINK(false) {
        @Override
        Runnable begin(Scene scene, Random random) {
            Relay relay = scene.deployment().peerLink(scene.any(random));
            relay.set(Relay.Mode.CUT);
            relay.set(Relay.Mode.PASS);
            Deployment.pause(random.nextInt(100));
            relay.set(Relay.Mode.CUT);
            return () -> relay.set(Relay.Mode.PASS);
        }
    },
    /** Appends take effect after they failed. */
    LATE_APPENDS(false) {
        @Override
        Runnable begin(Scene scene, Random random) {
            int millis = 1 + random.nextInt(800);
            scene.deployment().log().faults().update(faults -> faults.withApplyLate(3, millis));
            return () -> scene.deployment().log().faults().update(faults -> faults.withApplyLate(0, 0));
        }
    },
    /** A link is slow. */
    SLOW_LINK(true) {
        @Override
        Runnable begin(Scene scene, Random random) {
            return link(scene, random, Relay.Mode.DELAY);
        }
    },
    /** Answers of appends are lost. */
    LOST_APPENDS(true) {
        @Override
        Runnable begin(Scene scene, Random random) {
            scene.deployment().log().faults().update(faults -> faults.withLoseAnswerEvery(2));
            return () -> scene.deployment().log().faults().update(faults -> faults.withLoseAnswerEvery(0));
        }
    },
    /** The log is away. */
    LOG_DOWN(true) {
        @Override
        Runnable begin(Scene scene, Random random) {
            scene.deployment().log().faults().update(faults -> faults.withDown(true));
            return () -> scene.deployment().log().faults().update(faults -> faults.withDown(false));
        }
    },
    /** The log answers late. */
    LOG_SLOW(true) {
        @Override
        Runnable begin(Scene scene, Random random) {
            int millis = random.nextInt(300);
            scene.deployment().log().faults().update(faults -> faults.withDelayMillis(millis));
            return () -> scene.deployment().log().faults().update(faults -> faults.withDelayMillis(0));
        }
    },
    /** A warm engine turns cold. */
    TURN_COLD(true) {
        @Override
        Runnable begin(Scene scene, Random random) {
            scene.deployment().engine(scene.any(random, ServiceKind.ENGINE)).turnCold();
            return () -> {};
        }
    },
    /** Two operators move a data centre at the same time; in the end it is in. */
    MOVE_DATA_CENTRE(true) {
        @Override
        Runnable begin(Scene scene, Random random) {
            Vm vm = scene.any(random, ServiceKind.ENGINE);
            Thread rival = new Thread(() -> scene.deployment().move(vm.dataCentre(), false));
            rival.start();
            scene.deployment().move(vm.dataCentre(), true);
            return () -> {
                join(rival);
                scene.deployment().move(vm.dataCentre(), false);
            };
        }
    },
    /** The VM list lags while a VM is marked as leaving. */
    VM_LEAVES(true) {
        @Override
        Runnable begin(Scene scene, Random random) {
            Vm vm = scene.any(random, random.nextBoolean() ? ServiceKind.ENGINE : ServiceKind.PLAIN);
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
        Runnable begin(Scene scene, Random random) {
            Vm vm = scene.any(random);
            scene.plannedStop(vm);
            return () -> scene.deployment().startProcess(vm);
        }
    };

    private final boolean gentle;

    Fault(boolean gentle) {
        this.gentle = gentle;
    }

    /**
     * Whether no request may be cut.
     *
     * @return true for planned changes and faults that every request survives
     */
    public boolean isGentle() {
        return gentle;
    }

    /** Begins the fault and returns what ends it. */
    abstract Runnable begin(Scene scene, Random random);

    private static Runnable link(Scene scene, Random random, Relay.Mode mode) {
        boolean isPeerLink = random.nextBoolean();
        Vm vm = isPeerLink ? scene.any(random) : scene.any(random, ServiceKind.ENGINE);
        Relay relay = isPeerLink
                ? scene.deployment().peerLink(vm)
                : scene.deployment().endpointLink(vm);
        relay.set(mode);
        return () -> relay.set(Relay.Mode.PASS);
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
     * @param gentle whether all faults of the schedule are gentle, so that a planned stop is to blame for a cut
     */
    public record Scene(Deployment deployment, History history, Caller caller, boolean gentle) {

        Vm any(Random random) {
            int kind = random.nextInt(3);
            return any(random, kind == 0 ? null : kind == 1 ? ServiceKind.ENGINE : ServiceKind.PLAIN);
        }

        Vm any(Random random, @Nullable ServiceKind kind) {
            List<Vm> vms = deployment.vms(kind);
            return vms.get(random.nextInt(vms.size()));
        }

        void plannedStop(Vm vm) {
            if (gentle) {
                history.add(new Event.PlannedStop(Deployment.now(), vm.name(), caller.running()));
            }
            deployment.stopGracefully(vm);
        }
    }
}
