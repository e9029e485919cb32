package org.redwinghook.runtime.usage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.redwinghook.core.usage.UsageCounts;
import org.redwinghook.core.usage.UsageFold;
import org.redwinghook.core.usage.UsageKey;
import org.redwinghook.core.usage.UsageLedger;
import org.redwinghook.core.usage.UsageRecord;
import org.redwinghook.core.usage.UsageSide;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * Guards against counts that are lost or reported twice when responses of the log are lost or the log is unreachable.
 */
public class UsageReporterTest {

    private static final UsageKey KEY = new UsageKey("owner", "customer", "service", UsageSide.ROUTER);

    private final Vertx vertx = Vertx.vertx();
    private final ObjectMapper mapper = new ObjectMapper();

    @AfterClass
    public void close() {
        vertx.close().await();
    }

    /** Guards against work that is counted twice when an append took effect and only the response was lost. */
    @Test
    public void repeatsTheSameRecordAfterALostAnswer() {
        FakeLog log = new FakeLog();
        UsageLedger ledger = new UsageLedger("process", 1);
        UsageReporter reporter = new UsageReporter(vertx, log::append, ledger, 60_000);
        ledger.add(KEY, UsageCounts.generation(1, 5));
        log.losesAnswers = true;
        Assert.assertTrue(reporter.report().failed());
        ledger.add(KEY, UsageCounts.generation(1, 7));
        log.losesAnswers = false;
        Assert.assertTrue(reporter.report().succeeded());
        Assert.assertTrue(reporter.report().succeeded());
        Assert.assertEquals(log.sequences(), List.of(1L, 1L, 2L));
        Assert.assertEquals(log.outputTokens(), 12);
    }

    /** Guards against counts that are lost in an outage of the log or at a stop after it. */
    @Test
    public void stopReportsAllCountsDelayedByOutages() {
        FakeLog log = new FakeLog();
        UsageLedger ledger = new UsageLedger("process", 1);
        UsageReporter reporter = new UsageReporter(vertx, log::append, ledger, 60_000);
        log.failures = 4;
        for (int step = 0; step < 3; step++) {
            ledger.add(KEY, UsageCounts.generation(1, 5));
            Assert.assertTrue(reporter.report().failed());
        }
        reporter.stop().await();
        Assert.assertEquals(log.outputTokens(), 15);
    }

    /** Guards against a stop that never completes while the log is unreachable. */
    @Test
    public void stopGivesUpWhileTheLogIsDown() {
        FakeLog log = new FakeLog();
        log.failures = Integer.MAX_VALUE;
        UsageLedger ledger = new UsageLedger("process", 1);
        UsageReporter reporter = new UsageReporter(vertx, log::append, ledger, 60_000);
        ledger.add(KEY, UsageCounts.call());
        reporter.stop().await();
        Assert.assertEquals(log.records.size(), 0);
    }

    private final class FakeLog {

        private final List<UsageRecord> records = new ArrayList<>();
        private boolean losesAnswers;
        private int failures;

        Future<Long> append(String stream, Buffer data) {
            Assert.assertEquals(stream, "usage");
            if (failures > 0) {
                failures--;
                return Future.failedFuture("the log is down");
            }
            try {
                records.add(mapper.readValue(data.getBytes(), UsageRecord.class));
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
            return losesAnswers ? Future.failedFuture("the answer was lost") : Future.succeededFuture(1L);
        }

        List<Long> sequences() {
            return records.stream().map(UsageRecord::sequence).toList();
        }

        long outputTokens() {
            UsageFold fold = new UsageFold();
            records.forEach(fold::add);
            return fold.billByOwner(UsageSide.ROUTER).get("owner").outputTokens();
        }
    }
}
