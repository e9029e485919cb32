package org.redwinghook.standins.vmlist;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.standins.StandInClient;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a VM list whose changes are visible without the lag. */
public class VmListStandInTest {

    @Test
    public void showsChangesAfterTheLag() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            VmListStandIn list = new VmListStandIn(vertx, 0, new JsonArray().add(new JsonObject().put("vm", "a")));
            StandInClient client = new StandInClient(list.start().await());
            list.faults().update(faults -> faults.withLagMillis(3_600_000));
            client.send("POST", "/vms", "{\"vm\": \"b\"}");
            list.setLeaving("a", true);
            Assert.assertEquals(client.send("GET", "/vms", "").body(), "[{\"vm\":\"a\"}]");
            client.send("PUT", "/faults", "{\"lagMillis\": 0}");
            Assert.assertEquals(
                    client.send("GET", "/vms", "").body(), "[{\"vm\":\"a\",\"leaving\":true},{\"vm\":\"b\"}]");
            client.send("DELETE", "/vms/a/leaving", "");
            list.remove("b");
            Assert.assertEquals(client.send("GET", "/vms", "").body(), "[{\"vm\":\"a\",\"leaving\":false}]");
        } finally {
            vertx.close().await();
        }
    }
}
