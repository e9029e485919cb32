package org.redwinghook.core.replica;

import java.util.Map;

/**
 * Selects the routers that wait at the platform's store for new records and relay them, so that not every router of a
 * deployment reads each change from the store. The other routers poll the store at longer intervals in case no records
 * are relayed.
 */
public final class StoreReaders {

    private StoreReaders() {}

    /**
     * Role of a router.
     *
     * @param self name of the router
     * @param peers connected routers, and whether each can read the store
     * @return the first reader if no connected router that can read the store sorts before this one, the second reader if
     *     one does
     */
    public static StoreRole roleOf(String self, Map<String, Boolean> peers) {
        return switch (countEarlierReaders(self, peers)) {
            case 0 -> StoreRole.FIRST_READER;
            case 1 -> StoreRole.SECOND_READER;
            default -> StoreRole.FOLLOWER;
        };
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
