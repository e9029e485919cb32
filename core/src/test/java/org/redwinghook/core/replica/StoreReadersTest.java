package org.redwinghook.core.replica;

import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against deployments in which no router, or every router, waits at the store for new records. */
public class StoreReadersTest {

    @Test
    public void routerWithoutPeersIsAReader() {
        Assert.assertNotEquals(StoreReaders.roleOf("router-9", Map.of()), StoreRole.FOLLOWER);
    }

    @Test
    public void onlyTheFirstTwoRoutersAreReaders() {
        Map<String, Boolean> peers = Map.of("router-1", true, "router-2", true, "router-4", true);
        Assert.assertEquals(StoreReaders.roleOf("router-3", peers), StoreRole.FOLLOWER);
        Assert.assertNotEquals(
                StoreReaders.roleOf("router-15", Map.of("router-1", true, "router-2", true)), StoreRole.FOLLOWER);
        Assert.assertEquals(StoreReaders.roleOf("router-5", peers), StoreRole.FOLLOWER);
    }

    @Test
    public void routersThatCannotReadTheStoreDoNotCount() {
        Map<String, Boolean> peers = Map.of("router-1", false, "router-2", true);
        Assert.assertNotEquals(StoreReaders.roleOf("router-3", peers), StoreRole.FOLLOWER);
    }
}
