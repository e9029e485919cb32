package org.redwinghook.runtime.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.redwinghook.core.config.ConfigurationFold;

/**
 * Copies sections on the log before retention removes the records that made them. All processes may do so: a random
 * delay makes it likely that only one does, and a second copy is harmless.
 */
final class CarryWriter {

    private static final int LARGEST_AGE_DIVISOR = 2;
    private static final int LONGEST_DELAY_DIVISOR = 10;

    private final ConfigurationLog log;
    private final ConfigurationCodec codec;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final FollowerMetrics metrics;
    private final long retentionMillis;
    private final Set<String> waiting = new HashSet<>();

    CarryWriter(
            ConfigurationLog log,
            ConfigurationCodec codec,
            Scheduler scheduler,
            RandomGenerator random,
            FollowerMetrics metrics,
            long retentionMillis) {
        this.log = log;
        this.codec = codec;
        this.scheduler = scheduler;
        this.random = random;
        this.metrics = metrics;
        this.retentionMillis = retentionMillis;
    }

    void check(Supplier<ConfigurationFold> fold) {
        for (String section : due(fold.get())) {
            if (waiting.add(section)) {
                long delay = 1 + random.nextLong(retentionMillis / LONGEST_DELAY_DIVISOR);
                scheduler.after(delay, () -> copyIfStillDue(fold, section));
            }
        }
    }

    private void copyIfStillDue(Supplier<ConfigurationFold> source, String section) {
        ConfigurationFold fold = source.get();
        if (!fold.isConsistent() || !due(fold).contains(section)) {
            waiting.remove(section);
            return;
        }
        metrics.carried();
        log.append(codec.encode(fold.snapshotOf(section))).onComplete(ignored -> waiting.remove(section));
    }

    private List<String> due(ConfigurationFold fold) {
        return fold.sectionsWithSnapshotBefore(scheduler.nowMillis() - retentionMillis / LARGEST_AGE_DIVISOR);
    }
}
