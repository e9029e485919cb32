package org.redwinghook.runtime.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.redwinghook.core.config.ConfigurationFold;

/**
 * Appends snapshots of sections to the log before retention removes the records that they were built from. Every
 * process that follows the log may do so. A random delay makes it likely that only one does, and a second snapshot is
 * harmless.
 */
final class SnapshotWriter {

    /** A section is due when its newest snapshot is older than the retention divided by this number. */
    private static final int SNAPSHOT_AGE_DIVISOR = 2;

    /** The random delay is at most the retention divided by this number. */
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

    /** Schedules a snapshot of each section that is due. */
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
