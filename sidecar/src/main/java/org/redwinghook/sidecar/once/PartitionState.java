package org.redwinghook.sidecar.once;

/**
 * State of one partition in the state dump.
 *
 * @param partition number of the partition
 * @param nextOffset offset of the next record to read
 * @param keys number of remembered keys
 * @param pendingIntents number of attempts whose intent was not read back from the log
 * @param running number of attempts that run at the endpoint
 * @param pendingOutcomes number of outcomes that were not read back from the log
 */
public record PartitionState(
        int partition, long nextOffset, int keys, int pendingIntents, int running, int pendingOutcomes) {}
