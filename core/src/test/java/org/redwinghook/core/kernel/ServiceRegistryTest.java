package org.redwinghook.core.kernel;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against two services under one name and against lookups of missing services that do not fail. */
public class ServiceRegistryTest {

    @Test
    public void findsServiceByNameAndType() {
        ServiceRegistry registry = new ServiceRegistry();
        registry.register("clock", "a clock");
        Assert.assertEquals(registry.find("clock", String.class), "a clock");
    }

    @Test
    public void refusesSecondServiceUnderOneName() {
        ServiceRegistry registry = new ServiceRegistry();
        registry.register("clock", "a clock");
        Assert.assertThrows(IllegalStateException.class, () -> registry.register("clock", "another"));
    }

    @Test
    public void reportsMissingServiceAndWrongType() {
        ServiceRegistry registry = new ServiceRegistry();
        registry.register("clock", "a clock");
        Assert.assertThrows(IllegalStateException.class, () -> registry.find("calendar", String.class));
        Assert.assertThrows(IllegalStateException.class, () -> registry.find("clock", Integer.class));
    }
}
