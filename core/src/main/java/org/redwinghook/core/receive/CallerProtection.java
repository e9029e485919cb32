package org.redwinghook.core.receive;

/**
 * Limits on what a router holds for all callers together.
 *
 * @param maximumConnections maximum number of callers' connections
 * @param maximumBytes maximum memory for messages of callers and endpoints, in bytes
 * @param maximumFields maximum number of fields of a request head
 * @param addressShare share of the connections that callers of one address may have while others need them
 * @param progressBytes number of received bytes that count as progress of a request
 * @param progressMillis time without progress after which a request that arrives is given up while connections or memory
 *     are short, in milliseconds
 * @param operatorConnections maximum number of connections at the readiness port and at the operators' port, each
 */
public record CallerProtection(
        int maximumConnections,
        long maximumBytes,
        int maximumFields,
        double addressShare,
        int progressBytes,
        long progressMillis,
        int operatorConnections) {

    /** A field takes four bytes at least, so that a head of 16 KiB has fewer fields. */
    private static final int DEFAULT_MAXIMUM_FIELDS = 4_096;

    private static final double DEFAULT_ADDRESS_SHARE = 0.5;
    private static final int DEFAULT_PROGRESS_BYTES = 256;
    private static final long DEFAULT_PROGRESS_MILLIS = 5_000;
    private static final int DEFAULT_OPERATOR_CONNECTIONS = 64;

    /** Descriptors for the connections to other routers, the store and operators, and for files. */
    private static final int RESERVED_DESCRIPTORS = 400;

    /** Descriptors for each connection of a caller: its own, and one to the endpoint of its request. */
    private static final int DESCRIPTORS_OF_CONNECTION = 2;

    /** The part 1/n of the heap that received messages may fill. */
    private static final int HEAP_DIVISOR = 4;

    /** Heap that an idle connection takes, in bytes, rounded up. */
    private static final int CONNECTION_HEAP_BYTES = 16 * 1024;

    private static final int MINIMUM_CONNECTIONS = 64;

    /**
     * Limits for a process.
     *
     * @param maximumDescriptors maximum number of open files of the process
     * @param heapBytes maximum size of the heap, in bytes
     * @return the limits
     */
    public static CallerProtection defaults(long maximumDescriptors, long heapBytes) {
        return new CallerProtection(
                connectionsFor(maximumDescriptors, heapBytes),
                bytesFor(heapBytes),
                DEFAULT_MAXIMUM_FIELDS,
                DEFAULT_ADDRESS_SHARE,
                DEFAULT_PROGRESS_BYTES,
                DEFAULT_PROGRESS_MILLIS,
                DEFAULT_OPERATOR_CONNECTIONS);
    }

    /**
     * Maximum number of connections for the limits of a process.
     *
     * @param maximumDescriptors maximum number of open files of the process
     * @param heapBytes maximum size of the heap, in bytes
     * @return the number of connections of callers
     */
    private static int connectionsFor(long maximumDescriptors, long heapBytes) {
        long byDescriptors = (maximumDescriptors - RESERVED_DESCRIPTORS) / DESCRIPTORS_OF_CONNECTION;
        long byHeap = heapBytes / HEAP_DIVISOR / CONNECTION_HEAP_BYTES;
        return (int) Math.max(MINIMUM_CONNECTIONS, Math.min(byDescriptors, byHeap));
    }

    /**
     * Maximum memory for messages.
     *
     * @param heapBytes maximum size of the heap, in bytes
     * @return the memory, in bytes
     */
    private static long bytesFor(long heapBytes) {
        return heapBytes / HEAP_DIVISOR;
    }
}
