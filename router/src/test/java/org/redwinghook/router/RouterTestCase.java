package org.redwinghook.router;

import org.redwinghook.router.RouterFixture.RunningRouter;
import org.testng.annotations.AfterMethod;

/** Base class of tests of a router with sidecars that the test controls. */
abstract class RouterTestCase {

    RouterFixture fixture = new RouterFixture();

    @AfterMethod
    public void close() {
        fixture.close();
    }

    RunningRouter start(String... services) throws Exception {
        return start(new RouterFixture(services));
    }

    RunningRouter start(RouterFixture newFixture) throws Exception {
        fixture.close();
        fixture = newFixture;
        return fixture.startRouter();
    }

    FakeSidecar sidecar(int index) {
        return fixture.sidecars.get(index);
    }

    /** Returns the one of two sidecars that has a running request. */
    FakeSidecar findBusySidecar(RunningRouter router) throws Exception {
        RouterFixture.eventually(() -> outstanding(router, 0) + outstanding(router, 1) > 0);
        return outstanding(router, 0) > 0 ? sidecar(0) : sidecar(1);
    }

    FakeSidecar otherSidecar(FakeSidecar sidecar) {
        return sidecar == sidecar(0) ? sidecar(1) : sidecar(0);
    }

    private int outstanding(RunningRouter router, int index) throws Exception {
        return router.endpoint(sidecar(index).vm).getInteger("outstanding");
    }
}
