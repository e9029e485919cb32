package org.redwinghook.core.replica;

import java.util.Map;

/**
 * Which routers wait at the platform's store for new records and pass them on. Answers deployments where each change
 * would otherwise be read by every router: a few read at once, the others look at longer intervals in case no one
 * passes anything on.
 */
public final class StoreReaders {

    /** Routers that wait at the store; a second one covers the time until a failed one is noticed. */
    private static final int MAXIMUM_READERS = 2;

    private StoreReaders() {}

    /**
     * Whether a router passes large records on at once; the second reader leaves that to the first.
     *
     * @param self name of the router
     * @param peers connected routers, and whether each can read the store
     * @return true if no connected router that can read the store sorts before this one
     */
    public static boolean isFirstReader(String self, Map<String, Boolean> peers) {
        return countEarlierReaders(self, peers) == 0;
    }

    /**
     * Whether a router waits at the store.
     *
     * @param self name of the router
     * @param peers connected routers, and whether each can read the store
     * @return true if fewer than two connected routers that can read the store sort before this one
     */
    public static boolean isReader(String self, Map<String, Boolean> peers) {
        return countEarlierReaders(self, peers) < MAXIMUM_READERS;
    }

    private static int countEarlierReaders(String self, Map<String, Boolean> peers) {
        int before = 0;
        for (Map.Entry<String, Boolean> peer : peers.entrySet()) {
            if (peer.getValue() && peer.getKey().compareTo(self) < 0) {
                before++;
            }
        }
        return before;
    }
}
