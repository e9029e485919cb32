package org.redwinghook.core.origin;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.redwinghook.core.forward.RequestKind;
import org.redwinghook.core.forward.Route;
import org.redwinghook.core.forward.WeightedService;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards streams against a continuation at another software version than the one that began them. */
public class StreamOriginsTest {

    private static final ServiceVersion OLD = new ServiceVersion("models", "v1");
    private static final ServiceVersion NEW = new ServiceVersion("models", "v2");

    private static StreamLifetimes lifetimes(long timeoutMillis) {
        return new StreamLifetimes(List.of(new Route(
                "r",
                "host",
                "/",
                List.of(new WeightedService("models", 1)),
                RequestKind.STREAMING,
                timeoutMillis,
                1_000,
                0,
                2,
                0,
                null,
                false,
                true)));
    }

    /** Guards against a table that grows without bound or returns the origin of another service's stream. */
    public static class Table {

        @Test
        public void originIsFoundByServiceAndAttempt() {
            StreamOrigins origins = new StreamOrigins();
            origins.record(new StreamOrigin("a", OLD), 0);
            Assert.assertEquals(origins.find("models", "a"), Optional.of("v1"));
            Assert.assertEquals(origins.find("models", "b"), Optional.empty());
            Assert.assertEquals(origins.find("calls", "a"), Optional.empty());
        }

        @Test
        public void oldestEntriesGoFirst() {
            StreamOrigins origins = new StreamOrigins();
            for (int number = 0; number <= StreamOrigins.MAXIMUM_ENTRIES; number++) {
                origins.record(new StreamOrigin("a" + number, OLD), number);
                origins.record(new StreamOrigin("renewed", NEW), number);
            }
            Assert.assertEquals(origins.size(), StreamOrigins.MAXIMUM_ENTRIES);
            Assert.assertEquals(origins.find("models", "a0"), Optional.empty());
            Assert.assertEquals(origins.find("models", "renewed"), Optional.of("v2"));
            origins.removeBefore(StreamOrigins.MAXIMUM_ENTRIES);
            Assert.assertEquals(origins.size(), 2);
        }

        @Test
        public void longIdentifiersAreNotRecorded() {
            StreamOrigins origins = new StreamOrigins();
            origins.record(new StreamOrigin("a".repeat(StreamOrigins.MAXIMUM_IDENTIFIER_CHARACTERS + 1), OLD), 0);
            Assert.assertEquals(origins.size(), 0);
        }
    }

    /** Guards against the conclusion that a stream began at the only version that is listed now. */
    public static class Versions {

        /** All endpoints of a version leave and all routers start again, while callers hold streams of it. */
        @Test
        public void versionThatHasLeftCountsUntilItsRecordIsRemoved() {
            StreamLifetimes lifetimes = lifetimes(40_000);
            PossibleVersions possible = new PossibleVersions();
            possible.updateRecorded(Set.of(OLD), 1_000);
            possible.updateListed(Set.of(NEW), 1_000);
            Assert.assertEquals(possible.of("models"), Set.of("v1", "v2"));
            Assert.assertEquals(possible.withoutRecord(lifetimes), Set.of(NEW));
            Assert.assertEquals(possible.withOutlivedRecord(lifetimes, 80_999), Set.of());
            Assert.assertEquals(possible.withOutlivedRecord(lifetimes, 81_000), Set.of(OLD));
            possible.expire(lifetimes, 81_000);
            Assert.assertEquals(possible.of("models"), Set.of("v1", "v2"));
            possible.updateRecorded(Set.of(NEW), 81_000);
            possible.expire(lifetimes, 81_000);
            Assert.assertEquals(possible.of("models"), Set.of("v2"));
        }

        /** The store comes back from a copy without the record, after the version's endpoints have left. */
        @Test
        public void versionWhoseRecordIsLostStillCounts() {
            StreamLifetimes lifetimes = lifetimes(1_000);
            PossibleVersions possible = new PossibleVersions();
            possible.updateListed(Set.of(OLD, NEW), 0);
            possible.updateRecorded(Set.of(OLD, NEW), 0);
            possible.updateListed(Set.of(NEW), 10_000);
            possible.updateRecorded(Set.of(NEW), 20_000);
            possible.expire(lifetimes, 69_999);
            Assert.assertEquals(possible.of("models"), Set.of("v1", "v2"));
            Assert.assertEquals(possible.withoutRecord(lifetimes), Set.of(OLD));
            possible.expire(lifetimes, 70_000);
            Assert.assertEquals(possible.of("models"), Set.of("v2"));
        }

        /** The router that removes records was frozen while a version was listed again and began streams. */
        @Test
        public void versionMayHaveBeenListedWhileNothingWasHeardOfTheList() {
            StreamLifetimes lifetimes = lifetimes(1_000);
            PossibleVersions possible = new PossibleVersions();
            possible.updateRecorded(Set.of(OLD, NEW), 0);
            possible.updateListed(Set.of(NEW), 0);
            possible.renew(70_000);
            Assert.assertEquals(possible.withOutlivedRecord(lifetimes, 70_000), Set.of());
            Assert.assertEquals(possible.withOutlivedRecord(lifetimes, 130_000), Set.of(OLD));
        }

        @Test
        public void servicesWithoutResumableStreamsNeedNoRecord() {
            PossibleVersions possible = new PossibleVersions();
            possible.updateListed(Set.of(new ServiceVersion("calls", "v1")), 0);
            Assert.assertEquals(possible.withoutRecord(lifetimes(1_000)), Set.of());
        }
    }

    /** Guards the order in which a router concludes the version of a resumed stream. */
    public static class Decision {

        @Test
        public void onlyACompleteListWithOneVersionProvesIt() {
            Assert.assertEquals(OriginDecision.of("v1", Set.of("v1", "v2"), true), OriginDecision.KNOWN);
            Assert.assertEquals(OriginDecision.of("v1", Set.of("v2"), false), OriginDecision.KNOWN);
            Assert.assertEquals(OriginDecision.of(null, Set.of("v1"), true), OriginDecision.SINGLE);
            Assert.assertEquals(OriginDecision.of(null, Set.of("v1"), false), OriginDecision.UNKNOWN);
            Assert.assertEquals(OriginDecision.of(null, Set.of("v1", "v2"), true), OriginDecision.UNKNOWN);
            Assert.assertEquals(OriginDecision.of(null, Set.of(), true), OriginDecision.UNKNOWN);
            Assert.assertEquals(OriginDecision.SINGLE.version(null, Set.of("v1")), Optional.of("v1"));
        }
    }
}
