package org.redwinghook.router;

import org.redwinghook.router.RouterFixture.Running;
import org.testng.annotations.AfterMethod;

/** A test of one router against sidecars that the test controls. */
abstract class RouterTestCase {

    RouterFixture fixture = new RouterFixture();

    @AfterMethod
    public void close() {
        fixture.close();
    }

    Running start(String... services) throws Exception {
        return start(new RouterFixture(services));
    }

    Running start(RouterFixture next) throws Exception {
        fixture.close();
        fixture = next;
        return fixture.router();
    }

    FakeSidecar sidecar(int index) {
        return fixture.sidecars.get(index);
    }

    /** The one of two sidecars that has a request. */
    FakeSidecar busy(Running router) throws Exception {
        RouterFixture.eventually(() -> outstanding(router, 0) + outstanding(router, 1) > 0);
        return outstanding(router, 0) > 0 ? sidecar(0) : sidecar(1);
    }

    FakeSidecar otherThan(FakeSidecar one) {
        return one == sidecar(0) ? sidecar(1) : sidecar(0);
    }

    private int outstanding(Running router, int index) throws Exception {
        return router.endpoint(sidecar(index).vm).getInteger("outstanding");
    }
}
