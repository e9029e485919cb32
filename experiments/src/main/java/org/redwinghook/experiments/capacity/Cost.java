package org.redwinghook.experiments.capacity;

/**
 * Resource usage of a process.
 *
 * @param processorMillis processor time in milliseconds per second
 * @param heapMegabytes used heap after a garbage collection
 * @param residentMegabytes resident memory
 * @param bytes bytes per second read and written on all connections, without TCP and IP headers
 * @param wireBytes bytes per second in frames between routers and sidecars
 * @param messages frames per second
 */
public record Cost(
        double processorMillis,
        double heapMegabytes,
        double residentMegabytes,
        double bytes,
        double wireBytes,
        double messages) {

    /**
     * Difference from the usage of another process.
     *
     * @param other usage of the other process
     * @return this usage minus the other one, field by field
     */
    public Cost minus(Cost other) {
        return new Cost(
                processorMillis - other.processorMillis,
                heapMegabytes - other.heapMegabytes,
                residentMegabytes - other.residentMegabytes,
                bytes - other.bytes,
                wireBytes - other.wireBytes,
                messages - other.messages);
    }
}
