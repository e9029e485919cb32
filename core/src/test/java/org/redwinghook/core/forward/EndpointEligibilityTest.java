package org.redwinghook.core.forward;

import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests that go to endpoints which must not serve them. */
public class EndpointEligibilityTest {

    /** Streams that began at one of several software versions of a service. */
    public static class SoftwareVersions {

        private EndpointTable endpoints = new EndpointTable();
        private EndpointEligibility eligibility = new EndpointEligibility(endpoints);

        @BeforeMethod
        public void create() {
            endpoints = new EndpointTable();
            eligibility = new EndpointEligibility(endpoints);
            list("a-1", "models", "a", false);
            list("a-2", "models", "a", false);
            list("b-1", "models", "b", false);
            list("unnamed", "models", "", false);
            list("other-service", "other", "a", false);
        }

        private void list(String id, String service, String version, boolean isDraining) {
            endpoints.put(new EndpointEntry(id, service, "host", 1, "dc-1", 4, isDraining, 0, 1, version), 0);
        }

        private static RequestScope scope(@Nullable String requiredVersion, String... tried) {
            return new RequestScope("id", "models", "route", null, Set.of(tried), requiredVersion);
        }

        private List<String> eligible(RequestScope scope) {
            return eligibility.eligibleEndpoints(scope, 0).stream()
                    .map(endpoint -> endpoint.entry().id())
                    .sorted()
                    .toList();
        }

        /** Guards against streams with events of two versions, and against requests that are kept to one without need. */
        @Test
        public void begunStreamGoesOnlyToItsVersion() {
            Assert.assertEquals(eligible(scope(null)), List.of("a-1", "a-2", "b-1", "unnamed"));
            Assert.assertEquals(eligible(scope("a")), List.of("a-1", "a-2"));
            Assert.assertEquals(eligible(scope("a", "a-1")), List.of("a-2"));
            Assert.assertEquals(eligible(scope("")), List.of("unnamed"));
            Assert.assertEquals(eligible(scope("c")), List.of());
            Assert.assertEquals(
                    eligibility.exclusion(endpoints.find("b-1").orElseThrow(), scope("a"), 0),
                    Exclusion.SOFTWARE_VERSION);
        }

        /** Guards against streams that wait for a version that has left, and that end while their version only pauses. */
        @Test
        public void streamWaitsOnlyForEndpointsThatComeBack() {
            eligibility.addRule(
                    (endpoint, scope, now) -> endpoint.entry().version().equals("a") ? Exclusion.PAUSED : null);
            Assert.assertEquals(eligible(scope("a")), List.of());
            Assert.assertTrue(eligibility.hasEndpointSoon(scope("a"), 0));
            list("a-1", "models", "a", true);
            endpoints.remove("a-2", false, 0);
            Assert.assertFalse(eligibility.hasEndpointSoon(scope("a"), 0));
            Assert.assertTrue(eligibility.hasEndpointSoon(scope(null), 0));
        }
    }
}
