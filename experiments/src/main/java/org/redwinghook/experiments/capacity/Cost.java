package org.redwinghook.experiments.capacity;

/**
 * What a process uses.
 *
 * @param processorMillis processor time in milliseconds for each second
 * @param heapMegabytes heap after a collection
 * @param residentMegabytes resident memory
 * @param bytes bytes a second read and written on all connections, without the headers of TCP and IP
 * @param wireBytes bytes a second in frames between own processes
 * @param messages frames a second
 */
public record Cost(
        double processorMillis,
        double heapMegabytes,
        double residentMegabytes,
        double bytes,
        double wireBytes,
        double messages) {

    /**
     * Growth over another process.
     *
     * @param other the other process
     * @return differences
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
