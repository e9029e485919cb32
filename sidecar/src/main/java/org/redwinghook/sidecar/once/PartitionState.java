package org.redwinghook.sidecar.once;

/**
 * State of one partition for the state dump.
 *
 * @param partition number of the partition
 * @param nextOffset first offset that has not been read
 * @param keys keys remembered
 * @param pendingIntents attempts that wait for the log
 * @param running attempts at the endpoint
 * @param pendingOutcomes outcomes that have not been read back
 */
public record PartitionState(
        int partition, long nextOffset, int keys, int pendingIntents, int running, int pendingOutcomes) {}
