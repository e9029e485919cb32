package org.redwinghook.sidecar.once;

import java.util.List;

/**
 * State of the keyed calls for the state dump.
 *
 * @param claims callers' claims without a verdict
 * @param partitions partitions in use
 */
public record KeyedCallsState(int claims, List<PartitionState> partitions) {

    public KeyedCallsState {
        partitions = List.copyOf(partitions);
    }
}
