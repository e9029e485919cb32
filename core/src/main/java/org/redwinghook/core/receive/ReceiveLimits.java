package org.redwinghook.core.receive;

/** Limits on a single message of another process. */
public final class ReceiveLimits {

    /** Maximum size of a message that is held in memory until it is complete, in bytes. */
    public static final int MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024;

    /** Maximum nesting depth of JSON. Parsers recurse once for each level, and event loops have small stacks. */
    public static final int MAXIMUM_NESTING_DEPTH = 64;

    private ReceiveLimits() {}
}
