package org.redwinghook.core.receive;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against crowds of connections that take the place of callers who reuse theirs. */
public class ConnectionEvictionTest {

    private record Connection(String address, boolean mayClose, boolean hasServed, long lastProgressMillis)
            implements HeldConnection {}

    /**
     * Connections and the one that is closed.
     *
     * @return name, connections, index of the one that is closed, -1 if none is
     */
    @DataProvider
    public Object[][] connections() {
        return new Object[][] {
            {"none", List.of(), -1},
            {
                "all are being answered",
                List.of(new Connection("a", false, true, 1), new Connection("a", false, false, 2)),
                -1
            },
            {"least progress", List.of(new Connection("a", true, true, 5), new Connection("a", true, true, 4)), 1},
            {"never served", List.of(new Connection("a", true, true, 1), new Connection("a", true, false, 9)), 1},
            {
                "address over its share",
                List.of(
                        new Connection("ordinary", true, false, 1),
                        new Connection("crowd", true, true, 8),
                        new Connection("crowd", true, true, 7)),
                2
            }
        };
    }

    /**
     * The least useful connection is closed.
     *
     * @param name description of the case
     * @param connections open connections
     * @param expected index of the one that is closed, -1 if none is
     */
    @Test(dataProvider = "connections")
    public void leastUsefulConnectionIsChosen(String name, List<Connection> connections, int expected) {
        HeldConnection chosen = new ConnectionEviction(0.5).choose(connections);
        Assert.assertEquals(chosen, expected < 0 ? null : connections.get(expected), name);
    }
}
