package org.redwinghook.core.receive;

/** Limits on a single message of another process. */
public final class ReceiveLimits {

    /** Maximum size of a message that is held in memory until it is complete, in bytes. */
    public static final int MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024;

    /** Maximum nesting depth of JSON. Parsers recurse once for each level, and event loops have small stacks. */
    public static final int MAXIMUM_NESTING_DEPTH = 64;

    /** Number of fields of a request head above which it counts as large. */
    public static final int LARGE_HEAD_FIELDS = 100;

    /** Heap that a field of a decoded head takes beside its characters, in bytes. */
    private static final int FIELD_HEAP_BYTES = 200;

    /** Heap that a request takes beside its fields and its body, in bytes. */
    private static final int REQUEST_HEAP_BYTES = 4_096;

    private ReceiveLimits() {}

    /**
     * Heap that a request takes beside its body.
     *
     * @param fields number of fields of its head
     * @param headBytes size of its head, in bytes
     * @return the memory, in bytes
     */
    public static int headHeapBytes(int fields, int headBytes) {
        return REQUEST_HEAP_BYTES + FIELD_HEAP_BYTES * fields + headBytes;
    }
}
