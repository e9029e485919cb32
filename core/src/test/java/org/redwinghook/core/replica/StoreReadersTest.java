package org.redwinghook.core.replica;

import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against deployments in which no router, or every router, waits at the store for new records. */
public class StoreReadersTest {

    @Test
    public void routerWithoutPeersIsAReader() {
        Assert.assertTrue(StoreReaders.isReader("router-9", Map.of()));
    }

    @Test
    public void onlyTheFirstTwoRoutersAreReaders() {
        Map<String, Boolean> peers = Map.of("router-1", true, "router-2", true, "router-4", true);
        Assert.assertFalse(StoreReaders.isReader("router-3", peers));
        Assert.assertTrue(StoreReaders.isReader("router-15", Map.of("router-1", true, "router-2", true)));
        Assert.assertFalse(StoreReaders.isReader("router-5", peers));
    }

    @Test
    public void routersThatCannotReadTheStoreDoNotCount() {
        Map<String, Boolean> peers = Map.of("router-1", false, "router-2", true);
        Assert.assertTrue(StoreReaders.isReader("router-3", peers));
    }
}
