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
final class SnapshotWriter {

    private static final int SNAPSHOT_AGE_DIVISOR = 2;
    private static final int MAXIMUM_DELAY_DIVISOR = 10;

    private final ConfigurationLog log;
    private final ConfigurationCodec codec;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final FollowerMetrics metrics;
    private final long retentionMillis;
    private final Set<String> scheduledSections = new HashSet<>();

    SnapshotWriter(
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

    void scheduleDueSnapshots(Supplier<ConfigurationFold> currentFold) {
        for (String section : dueSections(currentFold.get())) {
            if (scheduledSections.add(section)) {
                long delayMillis = 1 + random.nextLong(retentionMillis / MAXIMUM_DELAY_DIVISOR);
                scheduler.schedule(delayMillis, () -> writeIfStillDue(currentFold, section));
            }
        }
    }

    private void writeIfStillDue(Supplier<ConfigurationFold> currentFold, String section) {
        ConfigurationFold fold = currentFold.get();
        if (!fold.isConsistent() || !dueSections(fold).contains(section)) {
            scheduledSections.remove(section);
            return;
        }
        metrics.recordSnapshot();
        log.append(codec.encode(fold.snapshotOf(section))).onComplete(ignored -> scheduledSections.remove(section));
    }

    private List<String> dueSections(ConfigurationFold fold) {
        return fold.sectionsWithSnapshotBefore(scheduler.nowMillis() - retentionMillis / SNAPSHOT_AGE_DIVISOR);
    }
}
