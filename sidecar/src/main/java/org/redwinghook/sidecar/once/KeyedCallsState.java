package org.redwinghook.sidecar.once;

import java.util.List;

/**
 * State of the keyed calls for the state dump.
 *
 * @param claims number of claims without a verdict
 * @param partitions states of the partitions in use
 */
public record KeyedCallsState(int claims, List<PartitionState> partitions) {

    public KeyedCallsState {
        partitions = List.copyOf(partitions);
    }
}
