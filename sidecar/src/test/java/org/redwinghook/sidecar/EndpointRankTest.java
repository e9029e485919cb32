package org.redwinghook.sidecar;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

import io.vertx.core.Future;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.ConfigurationReader;
import org.redwinghook.core.config.DesiredEngine;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.config.FixedConfigurationSource;
import org.redwinghook.sidecar.engine.EndpointRank;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public final class EndpointRankTest {

    private static final Configuration CONFIGURATION = ConfigurationReader.read(
                    "c", "places: {one: {region: r}, two: {region: r}, far: {region: q}}")
            .get();

    private static Member member(String vm, String dataCentre, String service, boolean leaving) {
        return new Member(vm, dataCentre, ProcessRole.SIDECAR, "127.0.0.1", 1, 1, service, leaving);
    }

    private static OptionalInt rank(List<Member> members, String dataCentre, String vm) {
        FixedConfigurationSource source = new FixedConfigurationSource(CONFIGURATION);
        return new EndpointRank(() -> Future.succeededFuture(members), source, "s", dataCentre, vm)
                .apply(DesiredEngine.UNSPECIFIED);
    }

    /** Guards against a rank shared by endpoints of a region, and against ranks for leaving or unrelated endpoints. */
    @Test
    public void liveEndpointsOfServiceAndRegionHaveDistinctRanks() {
        List<Member> members = new ArrayList<>(List.of(
                member("far", "far", "s", false),
                member("other", "one", "t", false),
                member("going", "two", "s", true)));
        Set<Integer> ranks = new HashSet<>();
        for (int index = 0; index < 6; index++) {
            members.add(member("vm" + index, index % 2 == 0 ? "one" : "two", "s", false));
        }
        for (int index = 0; index < 6; index++) {
            ranks.add(
                    rank(members, index % 2 == 0 ? "one" : "two", "vm" + index).getAsInt());
        }
        assertEquals(ranks, Set.of(0, 1, 2, 3, 4, 5));
        assertEquals(rank(members, "far", "far"), OptionalInt.of(0));
        assertEquals(rank(members, "two", "going"), OptionalInt.empty());
    }
}
