package org.redwinghook.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.redwinghook.core.message.EndpointLoad;
import org.testng.Assert;
import org.testng.annotations.Test;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;

/**
 * Guards against subsets that change without cause or load endpoints unevenly, and against needless traffic between
 * regions.
 */
public class EndpointSelectionTest {

    @Test
    public void lostEndpointChangesOnlyOneMemberOfEachSubset() {
        qt().withExamples(50)
                .withFixedSeed(4)
                .forAll(integers().between(9, 60), integers().between(0, 8))
                .checkAssert((count, lost) -> {
                    List<String> before = vms(count);
                    List<String> after = new ArrayList<>(before);
                    after.remove(lost.intValue());
                    for (int router = 0; router < 20; router++) {
                        Set<String> kept =
                                new HashSet<>(EndpointSubset.choose("router-" + router, before, EndpointSubset.SIZE));
                        kept.remove(before.get(lost));
                        Assert.assertTrue(EndpointSubset.choose("router-" + router, after, EndpointSubset.SIZE)
                                .containsAll(kept));
                    }
                });
    }

    @Test
    public void subsetsLoadEndpointsEvenly() {
        Map<String, Integer> routers = new HashMap<>();
        for (int router = 0; router < 360; router++) {
            EndpointSubset.choose("router-" + router, vms(36), EndpointSubset.SIZE)
                    .forEach(vm -> routers.merge(vm, 1, Integer::sum));
        }
        Assert.assertEquals(routers.size(), 36);
        routers.forEach((vm, count) -> Assert.assertTrue(count > 40 && count < 120, vm + " has " + count));
    }

    @Test
    public void staysInTheRegionWhileTwoCandidatesCanTakeWork() {
        List<EndpointView> views = List.of(view("a", true, 500, 4), view("b", true, 500, 4), view("c", false, 0, 0));
        Assert.assertNotEquals(select(views, query(Set.of())), "c");
    }

    @Test
    public void spillsOverWhenFewerThanTwoCanTakeWork() {
        List<EndpointView> views =
                List.of(view("a", true, 9_000, 16), view("b", true, 9_000, 16), view("c", false, 0, 0));
        Set<String> chosen = new HashSet<>();
        for (int draw = 0; draw < 9; draw++) {
            int fixed = draw;
            chosen.add(new EndpointSelector(bound -> fixed % bound)
                    .select(views, query(Set.of()))
                    .orElseThrow()
                    .vm());
        }
        Assert.assertTrue(chosen.contains("c"));
    }

    @Test
    public void prefersTheAffineEndpointUntilItsWaitOutweighsThePrefill() {
        List<String> names = vms(8);
        RoutingQuery query = new RoutingQuery(42, false, 2_000, Set.of());
        String affine = names.stream()
                .max((one, other) -> Long.compare(RendezvousHash.score(42, one), RendezvousHash.score(42, other)))
                .orElseThrow();
        Assert.assertEquals(select(views(names, affine, 0), query), affine);
        Assert.assertNotEquals(select(views(names, affine, 1_000), query), affine);
    }

    @Test
    public void neverSelectsAnExcludedOrLeavingEndpoint() {
        EndpointView leaving = new EndpointView("b", "dc", true, 0, new EndpointLoad(0, 0, 16, 0, 0, false));
        List<EndpointView> views = List.of(view("a", true, 0, 0), leaving);
        Assert.assertTrue(new EndpointSelector(bound -> 0)
                .select(views, query(Set.of("a")))
                .isEmpty());
    }

    private static List<EndpointView> views(List<String> names, String slow, long waitMillis) {
        return names.stream()
                .map(name -> view(name, true, name.equals(slow) ? waitMillis : 0, 2))
                .toList();
    }

    private static String select(List<EndpointView> views, RoutingQuery query) {
        return new EndpointSelector(bound -> 0)
                .select(views, query)
                .orElseThrow()
                .vm();
    }

    private static RoutingQuery query(Set<String> excluded) {
        return new RoutingQuery(0, false, 0, excluded);
    }

    private static EndpointView view(String vm, boolean sameRegion, long waitMillis, int running) {
        return new EndpointView(vm, "dc", sameRegion, 0, new EndpointLoad(running, 0, 16, 0.1, waitMillis, true));
    }

    private static List<String> vms(int count) {
        return IntStream.range(0, count).mapToObj(number -> "vm-" + number).toList();
    }
}
