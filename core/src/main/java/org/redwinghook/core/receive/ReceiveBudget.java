package org.redwinghook.core.receive;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory that the received messages of all requests take together. When it is exhausted, the request that
 * holds most gives up its messages, so that one process that sends without end does not affect other requests. Confined
 * to one thread.
 */
public final class ReceiveBudget {

    private final long maximumBytes;
    private final Set<Share> shares = new LinkedHashSet<>();
    private long heldBytes;

    /**
     * Creates a budget.
     *
     * @param maximumBytes maximum size of all messages, in bytes
     */
    public ReceiveBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
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

    private void evictLargest() {
        while (heldBytes > maximumBytes) {
            Share largest = shares.stream()
                    .max(Comparator.comparingLong(share -> share.bytes))
                    .orElseThrow();
            largest.close();
            largest.onEviction.run();
        }
    }

    /** Memory of the messages of one request. */
    public final class Share {

        private Runnable onEviction;
        private long bytes;

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
            evictLargest();
        }

        /** Releases all bytes. */
        public void close() {
            if (shares.remove(this)) {
                heldBytes -= bytes;
            }
        }
    }
}
