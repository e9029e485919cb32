package org.redwinghook.sidecar;

import java.util.Arrays;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.message.OutcomeUnknown;
import org.redwinghook.standins.http.BrokenAnswer;
import org.redwinghook.standins.http.BrokenServer;
import org.redwinghook.standins.vmlist.VmListStandIn;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against answers of a service that have no end or break off: a call must neither be answered as whole nor keep its
 * place at the service for ever.
 */
public class BrokenServiceAnswersTest {

    private static final long DEADLINE_MILLIS = 500;
    private static final long CLOSE_MILLIS = 5_000;

    private final Vertx vertx = Vertx.vertx();
    private final FaultyLog log = new FaultyLog(vertx);

    @AfterClass(alwaysRun = true)
    public void close() {
        vertx.close().await();
    }

    @DataProvider(parallel = true)
    static Object[][] answers() {
        return Arrays.stream(BrokenAnswer.values())
                .map(answer -> new Object[] {answer})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "answers")
    public void outcomeIsUnknown(BrokenAnswer answer) throws Exception {
        BrokenServer server = new BrokenServer(vertx, answer);
        int vmListPort = new VmListStandIn(vertx, 0, new JsonArray()).start().await();
        SidecarUnderTest sidecar =
                new SidecarUnderTest("a", ServiceKind.PLAIN, server.start().await(), log.port(), vmListPort, 60_000, 0);
        try {
            RouterClient router = new RouterClient(vertx, sidecar.peerPort());
            router.sendCall(1, null, "body", DEADLINE_MILLIS);
            Assert.assertEquals(router.next(OutcomeUnknown.class).exchange(), 1);
            server.awaitClosed(CLOSE_MILLIS);
        } finally {
            sidecar.kill();
        }
    }
}
