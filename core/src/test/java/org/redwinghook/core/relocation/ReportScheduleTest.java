package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against reports that several routers read, that none reads, or that one router reads too often. */
public class ReportScheduleTest {

    private static final long INTERVAL = ReportSchedule.READ_INTERVAL_MILLIS;

    private static List<String> engines(int number) {
        return IntStream.range(0, number).mapToObj(index -> "m-" + index + "@1").toList();
    }

    @Test
    public void oneRouterReadsEachReportAndAnotherTakesOver() {
        Set<String> routers = Set.of("router-1", "router-2", "router-3");
        for (Set<String> connected : List.of(routers, Set.of("router-2", "router-3"))) {
            List<String> read = new ArrayList<>();
            for (String self : connected) {
                Set<String> others = new HashSet<>(connected);
                others.remove(self);
                read.addAll(new ReportSchedule(self).takeDue(engines(60), others, INTERVAL, 0));
            }
            Assert.assertEquals(
                    read.stream().sorted().toList(),
                    engines(60).stream().sorted().toList());
        }
    }

    @Test
    public void readsAreBoundedAndTheLeastRecentComeFirst() {
        ReportSchedule schedule = new ReportSchedule("router-1");
        List<String> engines = engines(3 * ReportSchedule.MAXIMUM_READS_PER_SECOND);
        Set<String> read = new HashSet<>();
        for (long now = 0; now < 3_000; now += 100) {
            read.addAll(schedule.takeDue(engines, Set.of(), INTERVAL, now));
            Assert.assertTrue(read.size() <= ReportSchedule.MAXIMUM_READS_PER_SECOND * (now / 1_000 + 1));
        }
        Assert.assertEquals(read.size(), engines.size());
    }

    @Test
    public void engineThatSeemsToLeaveIsAskedRarely() {
        ReportSchedule schedule = new ReportSchedule("router-1");
        long reads = IntStream.range(0, 50)
                .filter(tenth -> schedule.tryTake("m-1@1", tenth * 100L))
                .count();
        Assert.assertEquals(reads, 3);
    }
}
