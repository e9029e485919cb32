package org.redwinghook.runtime.config;

import java.util.List;
import java.util.Map;

import io.vertx.core.Future;
import org.redwinghook.core.config.Section;
import org.redwinghook.core.config.SectionChange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class ConfigurationPublisherTest {

    private static final long RETENTION_MILLIS = 1_000_000;
    private static final long PUBLISH_TIMEOUT_MILLIS = 10_000;

    private VirtualTime time = new VirtualTime();
    private FakeLog log = new FakeLog(time, RETENTION_MILLIS);

    @BeforeMethod
    public void reset() {
        time = new VirtualTime();
        log = new FakeLog(time, RETENTION_MILLIS);
    }

    private static SectionChange change(long replaces, String identifier, String team, double weight) {
        String text = "{\"weight\": " + weight + "}";
        return new SectionChange("owners", team, replaces, identifier, "author", Map.of(identifier, text), List.of());
    }

    private PublishResult publish(SectionChange change) {
        return await(new ConfigurationPublisher(log, time).publish(change));
    }

    private PublishResult await(Future<PublishResult> result) {
        time.advance(PUBLISH_TIMEOUT_MILLIS);
        assertTrue(result.succeeded());
        return result.result();
    }

    /** Guards against two concurrent changes that are both accepted or both rejected. */
    @Test
    public void concurrentChangesHaveOneWinnerAndOneConflict() {
        log.beforeNextAppend(
                () -> assertEquals(publish(change(0, "first", "billing", 1)), new PublishResult.Accepted(1)));
        assertEquals(publish(change(0, "second", "press", 1)), new PublishResult.Conflict(1, "billing"));
        assertEquals(log.retained().size(), 2);
    }

    /** Guards against a change that took effect being reported as failed when the log's response is lost. */
    @Test
    public void lostAnswerAfterTheEffectIsAccepted() {
        log.failNextAppend(FakeLog.AppendFault.LOST_AFTER_EFFECT);
        assertEquals(publish(change(0, "a", "billing", 1)), new PublishResult.Accepted(1));
        assertEquals(log.retained().size(), 1);
    }

    /** Guards against a change whose append was lost being reported as accepted, or not being appended again. */
    @Test
    public void lostRequestIsAppendedAgain() {
        log.failNextAppend(FakeLog.AppendFault.LOST_BEFORE_EFFECT);
        assertEquals(publish(change(0, "a", "billing", 1)), new PublishResult.Accepted(1));
    }

    /** Guards against a change being reported as a conflict because its first append takes effect after the second. */
    @Test
    public void lateEffectOfTheFirstAppendCountsOnce() {
        log.failNextAppend(FakeLog.AppendFault.LATE_EFFECT);
        SectionChange change = change(0, "a", "billing", 1);
        assertEquals(publish(change), new PublishResult.Accepted(1));
        time.advance(PUBLISH_TIMEOUT_MILLIS);
        assertEquals(log.retained().size(), 2);
        assertEquals(publish(change), new PublishResult.Accepted(1));
    }

    /** Guards against an outage being reported as a rejection. */
    @Test
    public void outageGivesUnknownResultAndChangeCanBeRepeated() {
        log.setDown(true);
        SectionChange change = change(0, "a", "billing", 1);
        assertTrue(publish(change) instanceof PublishResult.Unknown);
        log.setDown(false);
        assertEquals(publish(change), new PublishResult.Accepted(1));
    }

    /** Guards against changes on the log that cannot be accepted. */
    @Test
    public void refusedChangesAreNotAppended() {
        publish(change(0, "a", "billing", 1));
        assertTrue(publish(change(1, "b", "billing", -1)) instanceof PublishResult.Invalid);
        assertEquals(publish(change(1, "b", "press", 1)), new PublishResult.Conflict(1, "billing"));
        assertEquals(publish(change(7, "b", "billing", 1)), new PublishResult.Conflict(1, "billing"));
        assertEquals(log.retained().size(), 1);
    }

    /** Guards against a whole section being appended for a change of one entry. */
    @Test
    public void onlyChangedEntriesAreAppended() {
        Section before = Section.read("owners", Map.of("a", "{}", "b", "{}")).get();
        Section after = Section.read("owners", Map.of("b", "{}", "c", "{}")).get();
        ConfigurationPublisher publisher = new ConfigurationPublisher(log, time);
        assertEquals(await(publisher.publish(before, "billing", "x")), new PublishResult.Accepted(1));
        assertEquals(await(publisher.publish(after, "billing", "x")), new PublishResult.Accepted(2));
        assertEquals(await(publisher.publish(after, "billing", "x")), new PublishResult.Unchanged());
        SectionChange delta = (SectionChange)
                new ConfigurationCodec().decode(log.retained().get(1).data()).get();
        assertEquals(delta.put(), Map.of("c", "{}"));
        assertEquals(delta.remove(), List.of("a"));
    }
}
