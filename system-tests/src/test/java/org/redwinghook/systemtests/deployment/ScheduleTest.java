package org.redwinghook.systemtests.deployment;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Checks all guarantees on the histories of seeded schedules of requests and faults. */
public final class ScheduleTest {

    private static final int DEFAULT_SCHEDULE_COUNT = 100;
    private static final int CONCURRENT_SCHEDULES = 8;

    /** Minimum number of completed answers in a schedule; guards against runs that check nothing. */
    private static final int MINIMUM_COMPLETED_ANSWERS = 3;

    /** Guards against violations that occur only in certain interleavings of requests and faults. */
    @Test
    public void guaranteesHoldInSeededSchedules() throws InterruptedException, ExecutionException {
        Long seed = Long.getLong("seed");
        int schedules = Integer.getInteger("schedules", DEFAULT_SCHEDULE_COUNT);
        List<Long> seeds = seed != null
                ? List.of(seed)
                : LongStream.rangeClosed(1, schedules).boxed().toList();
        List<String> problems = new ArrayList<>();
        ConcurrentHashMap<Long, Integer> completedAnswers = new ConcurrentHashMap<>();
        ExecutorService executor = Executors.newFixedThreadPool(CONCURRENT_SCHEDULES);
        try {
            List<Future<List<String>>> runs = new ArrayList<>();
            for (long scheduleSeed : seeds) {
                runs.add(executor.submit(() -> {
                    Schedule schedule = new Schedule(scheduleSeed);
                    List<String> scheduleProblems = schedule.run();
                    completedAnswers.put(scheduleSeed, schedule.completedAnswers());
                    return scheduleProblems;
                }));
            }
            for (Future<List<String>> run : runs) {
                problems.addAll(run.get());
            }
        } finally {
            executor.shutdownNow();
        }
        completedAnswers.forEach((scheduleSeed, count) -> {
            if (count < MINIMUM_COMPLETED_ANSWERS) {
                problems.add("seed " + scheduleSeed + " completed only " + count + " answers");
            }
        });
        Assert.assertEquals(problems, List.of(), String.join("\n", problems));
    }
}
