package org.redwinghook.core.replica;

import java.util.Map;

/**
 * Selects the routers that wait at the platform's store for new records and relay them, so that not every router of a
 * deployment reads each change from the store. The other routers poll the store at longer intervals in case no records
 * are relayed.
 */
public final class StoreReaders {

    /**
     * Number of routers that wait at the store; the second one covers the time until a failure of the first is
     * detected.
     */
    private static final int MAXIMUM_READERS = 2;

    private StoreReaders() {}

    /**
     * Whether a router is the first reader, which alone relays large records at once.
     *
     * @param self name of the router
     * @param peers connected routers, and whether each can read the store
     * @return true if no connected router that can read the store sorts before this one
     */
    public static boolean isFirstReader(String self, Map<String, Boolean> peers) {
        return countEarlierReaders(self, peers) == 0;
    }

    /**
     * Whether a router waits at the store for new records.
     *
     * @param self name of the router
     * @param peers connected routers, and whether each can read the store
     * @return true if fewer than two connected routers that can read the store sort before this one
     */
    public static boolean isReader(String self, Map<String, Boolean> peers) {
        return countEarlierReaders(self, peers) < MAXIMUM_READERS;
    }

    private static int countEarlierReaders(String self, Map<String, Boolean> peers) {
        int earlier = 0;
        for (Map.Entry<String, Boolean> peer : peers.entrySet()) {
            if (peer.getValue() && peer.getKey().compareTo(self) < 0) {
                earlier++;
            }
        }
        return earlier;
    }
}
