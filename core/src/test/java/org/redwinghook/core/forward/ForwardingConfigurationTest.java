package org.redwinghook.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against requests that reach the service of another route. */
public class ForwardingConfigurationTest {

    @Test
    public void findsRouteWithTheLongestPrefixOfTheHost() {
        ForwardingConfiguration configuration = new ForwardingConfiguration(
                1,
                List.of(route("short", "/a/"), route("long", "/a/b/")),
                false,
                Map.of(),
                Map.of(),
                new CallerLimits(1, 1, 1, 1));
        Assert.assertEquals(
                configuration.findRoute("host", "/a/b/c").orElseThrow().name(), "long");
        Assert.assertEquals(
                configuration.findRoute("host", "/a/c").orElseThrow().name(), "short");
        Assert.assertTrue(configuration.findRoute("host", "/b/").isEmpty());
        Assert.assertTrue(configuration.findRoute("other", "/a/").isEmpty());
    }

    @Test
    public void selectsServicesConsistentlyAndByWeight() {
        Route route = new Route(
                "split",
                "host",
                "/",
                List.of(new WeightedService("small", 1), new WeightedService("large", 3)),
                RequestKind.IDEMPOTENT,
                1,
                1,
                0,
                1,
                0,
                null,
                true,
                false);
        Map<String, Integer> chosen = new HashMap<>();
        for (int number = 0; number < 4_000; number++) {
            String service = route.selectService("request-" + number);
            Assert.assertEquals(route.selectService("request-" + number), service);
            chosen.merge(service, 1, Integer::sum);
        }
        Assert.assertEquals(chosen.get("small"), 1_000, 150);
    }

    @Test
    public void onlyResumableStreamsAndIdempotentRequestsMayRunAgain() {
        Assert.assertTrue(RequestKind.IDEMPOTENT.mayRunAgain(false));
        Assert.assertFalse(RequestKind.NON_IDEMPOTENT.mayRunAgain(true));
        Assert.assertFalse(RequestKind.STREAMING.mayRunAgain(false));
        Assert.assertTrue(RequestKind.STREAMING.mayRunAgain(true));
    }

    private static Route route(String name, String prefix) {
        return new Route(
                name,
                "host",
                prefix,
                List.of(new WeightedService("calls", 1)),
                RequestKind.IDEMPOTENT,
                1,
                1,
                0,
                1,
                0,
                null,
                true,
                false);
    }
}
