package org.redwinghook.core.receive;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Limits the memory that the received messages of all requests take together. When it is exhausted, the request that
 * holds most for the longest time without progress gives up its messages, so that one process that sends without end, or
 * stops in the middle, does not affect other requests. Confined to one thread.
 */
public final class ReceiveBudget {

    /** Part of the budget above which requests that make no progress are given up. */
    private static final double SHORT_PART = 0.75;

    /** Memory of a message that waits for room, in bytes: what its connection has received before it was paused. */
    private static final int WAITING_MESSAGE_BYTES = 64 * 1024;

    /** Part of the budget that messages may take beside it while they wait for room. */
    private static final double WAITING_PART = 0.5;

    /** Number of messages that may wait for room even if the budget is small. */
    private static final int MINIMUM_WAITING_LIMIT = 16;

    /** Age in which a message without progress weighs as much as one of twice its size, in milliseconds. */
    private static final long AGE_UNIT_MILLIS = 1_000;

    /** Longest age that counts, in milliseconds; the small request of a long generation must not outweigh large ones. */
    private static final long LONGEST_AGE_MILLIS = 10_000;

    private final long maximumBytes;
    private final LongSupplier nowMillis;
    private final Set<Share> shares = new LinkedHashSet<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private long heldBytes;

    private record Waiting(Share share, int bytes, Runnable reader) {}

    /**
     * Creates a budget in which the request that holds most is given up, whenever it made progress.
     *
     * @param maximumBytes maximum size of all messages, in bytes
     */
    public ReceiveBudget(long maximumBytes) {
        this(maximumBytes, () -> 0);
    }

    /**
     * Creates a budget.
     *
     * @param maximumBytes maximum size of all messages, in bytes
     * @param nowMillis monotonic time, in milliseconds
     */
    public ReceiveBudget(long maximumBytes, LongSupplier nowMillis) {
        this.maximumBytes = maximumBytes;
        this.nowMillis = nowMillis;
    }

    /**
     * Opens the share of one request.
     *
     * @param onEviction called at most once, when the request has to give up its messages; its share is closed by then
     * @return the share
     */
    public Share open(Runnable onEviction) {
        Share share = new Share(onEviction);
        shares.add(share);
        return share;
    }

    /**
     * Size of all messages that are held.
     *
     * @return the size, in bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Whether most of the memory is taken.
     *
     * @return whether requests that make no progress are given up
     */
    public boolean isShort() {
        return heldBytes > maximumBytes * SHORT_PART;
    }

    /**
     * Whether a large message may be taken in without making memory short.
     *
     * @param bytes size of the message, in bytes
     * @return false if the message should be refused before it is decoded
     */
    public boolean hasRoomFor(int bytes) {
        return heldBytes + bytes <= maximumBytes * SHORT_PART;
    }

    private void startWaiting() {
        for (Waiting first = waiting.peek(); first != null; first = waiting.peek()) {
            if (shares.contains(first.share) && !hasRoomFor(first.bytes)) {
                return;
            }
            waiting.remove();
            if (shares.contains(first.share)) {
                first.share.add(first.bytes);
                first.reader.run();
            }
        }
    }

    private void evict() {
        while (heldBytes > maximumBytes) {
            Share chosen = chooseShare();
            chosen.close();
            chosen.onEviction.run();
        }
    }

    private Share chooseShare() {
        long now = nowMillis.getAsLong();
        Share chosen = null;
        long highestCost = -1;
        for (Share share : shares) {
            long cost =
                    share.bytes * (1 + Math.min(now - share.lastProgressMillis, LONGEST_AGE_MILLIS) / AGE_UNIT_MILLIS);
            if (cost > highestCost) {
                chosen = share;
                highestCost = cost;
            }
        }
        if (chosen == null) {
            throw new IllegalStateException("bytes are held without a share");
        }
        return chosen;
    }

    /** Memory of the messages of one request. */
    public final class Share {

        private Runnable onEviction;
        private long bytes;
        private long lastProgressMillis = nowMillis.getAsLong();

        private Share(Runnable onEviction) {
            this.onEviction = onEviction;
        }

        /**
         * Replaces the handler of an eviction.
         *
         * @param handler called at most once
         */
        public void onEviction(Runnable handler) {
            onEviction = handler;
        }

        /**
         * Adds received bytes, which may evict this or another request. Does nothing once the share is closed.
         *
         * @param change the number of bytes, negative if bytes were released
         */
        public void add(int change) {
            if (!shares.contains(this)) {
                return;
            }
            bytes += change;
            heldBytes += change;
            if (change > 0) {
                lastProgressMillis = nowMillis.getAsLong();
            }
            evict();
        }

        /**
         * Adds a large message before it is read, once that does not make memory short. It is not read if the share is
         * closed before, as it is at once if too many messages wait.
         *
         * @param messageBytes size of the message, in bytes
         * @param reader starts to read the message
         */
        public void whenRoom(int messageBytes, Runnable reader) {
            int largestBytes = (int) Math.min(Integer.MAX_VALUE, (long) (maximumBytes * SHORT_PART));
            waiting.add(new Waiting(this, Math.min(messageBytes, largestBytes), reader));
            startWaiting();
            waiting.removeIf(message -> !shares.contains(message.share));
            if (waiting.size() > Math.max(MINIMUM_WAITING_LIMIT, maximumBytes * WAITING_PART / WAITING_MESSAGE_BYTES)) {
                close();
                onEviction.run();
            }
        }

        /** Releases all bytes. */
        public void close() {
            if (shares.remove(this)) {
                heldBytes -= bytes;
                startWaiting();
            }
        }
    }
}
