package org.redwinghook.systemtests.history;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against checkers that miss a violation or report one in a correct history. */
public class GuaranteeTest {

    private static final Event REQUEST_SENT = new Event.RequestSent(0, "r1", "k1", false);

    @DataProvider
    public Object[][] violatingHistories() {
        return new Object[][] {
            violatingHistory(
                    Guarantee.TOKENS_ONCE_IN_ORDER,
                    "a duplicate token",
                    tokenReceived("r1", "g1", 1),
                    tokenReceived("r1", "g1", 1)),
            violatingHistory(
                    Guarantee.TOKENS_ONCE_IN_ORDER,
                    "a missing token",
                    tokenReceived("r1", "g1", 1),
                    tokenReceived("r1", "g1", 3)),
            violatingHistory(Guarantee.TOKENS_ONCE_IN_ORDER, "a missing first token", tokenReceived("r1", "g1", 2)),
            violatingHistory(
                    Guarantee.TOKENS_ONCE_IN_ORDER,
                    "tokens out of order",
                    tokenReceived("r1", "g1", 1),
                    new Event.TokenReceived(2, "r1", "g1", 3, "g1/3"),
                    new Event.TokenReceived(3, "r1", "g1", 2, "g1/2")),
            violatingHistory(
                    Guarantee.TOKENS_ONCE_IN_ORDER,
                    "tokens of two generations",
                    tokenReceived("r1", "g1", 1),
                    tokenReceived("r1", "g2", 2)),
            violatingHistory(
                    Guarantee.TOKENS_ONCE_IN_ORDER,
                    "a wrong text under the right sequence number",
                    new Event.TokenReceived(1, "r1", "g1", 1, "g1/2")),
            violatingHistory(
                    Guarantee.COMPLETE_OWN_ANSWER,
                    "the answer to another request",
                    new Event.CallAnswered(1, "r1", "r2")),
            violatingHistory(
                    Guarantee.COMPLETE_OWN_ANSWER,
                    "tokens of one generation to two requests",
                    tokenReceived("r1", "g1", 1),
                    tokenReceived("r2", "g1", 1)),
            violatingHistory(
                    Guarantee.COMPLETE_OWN_ANSWER,
                    "texts of two engines' generations under one identifier",
                    tokenReceived("r1", "g1", 1),
                    new Event.TokenReceived(2, "r1", "g1", 2, "g2/2")),
            violatingHistory(
                    Guarantee.COMPLETE_OWN_ANSWER,
                    "an incomplete answer reported as complete",
                    tokenReceived("r1", "g1", 1),
                    new Event.AnswerCompleted(2, "r1", 2)),
            violatingHistory(
                    Guarantee.REFUSED_REQUESTS_NEVER_RUN,
                    "an effect after a refusal",
                    new Event.RequestRefused(1, "r1"),
                    new Event.EffectApplied(2, "e1", "r1", "k1")),
            violatingHistory(
                    Guarantee.REFUSED_REQUESTS_NEVER_RUN,
                    "a start before a refusal",
                    new Event.WorkStarted(1, "e1", "d1", "r1"),
                    new Event.RequestRefused(2, "r1")),
            violatingHistory(
                    Guarantee.REFUSED_REQUESTS_NEVER_RUN,
                    "an effect under a key whose attempts were refused, before the next attempt",
                    REQUEST_SENT,
                    new Event.RequestRefused(1, "r1"),
                    new Event.EffectApplied(2, "e1", "order", "k1"),
                    new Event.RequestSent(3, "r2", "k1", false)),
            violatingHistory(
                    Guarantee.AT_MOST_ONCE,
                    "a second run under one key",
                    REQUEST_SENT,
                    new Event.EffectApplied(1, "e1", "r1", "k1"),
                    new Event.EffectApplied(2, "e2", "r2", "k1")),
            violatingHistory(
                    Guarantee.AT_MOST_ONCE,
                    "a second run without a key",
                    new Event.EffectApplied(1, "e1", "r1", null),
                    new Event.EffectApplied(2, "e1", "r1", null)),
            violatingHistory(
                    Guarantee.NO_NEW_WORK_AFTER_WITHDRAWAL,
                    "new work in a withdrawn data centre",
                    new Event.Withdrawn(1_000, "d1"),
                    new Event.WorkStarted(6_001, "e1", "d1", "r1")),
            violatingHistory(
                    Guarantee.NO_NEW_WORK_AFTER_WITHDRAWAL,
                    "new work after a second withdrawal",
                    new Event.Withdrawn(1_000, "e1"),
                    new Event.Reinstated(2_000, "e1"),
                    new Event.Withdrawn(3_000, "e1"),
                    new Event.WorkStarted(8_001, "e1", "d1", "r1")),
            violatingHistory(
                    Guarantee.NO_OVERLOAD,
                    "more work than a cold endpoint can run",
                    new Event.LoadObserved(1, "e1", 3, 2)),
            violatingHistory(
                    Guarantee.PLANNED_STOPS_INTERRUPT_NOTHING,
                    "an answer interrupted by a planned stop",
                    new Event.PlannedStopStarted(1, "router-1", List.of("r1")),
                    new Event.AnswerInterrupted(2, "r1")),
            violatingHistory(
                    Guarantee.PLANNED_STOPS_INTERRUPT_NOTHING,
                    "an outcome lost by a planned stop",
                    new Event.PlannedStopStarted(1, "plain-1", List.of("r1")),
                    new Event.OutcomeUnknown(2, "r1")),
            violatingHistory(
                    Guarantee.CONFIGURATION_IN_FORCE,
                    "a version that reverts",
                    versionInForce(1, "p1", 7),
                    versionInForce(2, "p1", 6)),
            violatingHistory(
                    Guarantee.CONFIGURATION_IN_FORCE,
                    "a process that never applies a change",
                    versionInForce(1, "p1", 6),
                    versionInForce(1, "p2", 7),
                    new Event.ChangeAccepted(2, "rules", 7)),
            violatingHistory(
                    Guarantee.CONFIGURATION_IN_FORCE,
                    "a process without any version",
                    new Event.ProcessStarted(0, "p1", 1),
                    new Event.ChangeAccepted(2, "rules", 7)),
            violatingHistory(
                    Guarantee.CONFIGURATION_IN_FORCE,
                    "a restarted process that applies a change too late",
                    new Event.ChangeAccepted(0, "rules", 7),
                    new Event.ProcessStarted(20_000, "p1", 2),
                    versionInForce(27_001, "p1", 2, 7)),
            violatingHistory(
                    Guarantee.CONFIGURATION_IN_FORCE,
                    "a process that ends after a change was due",
                    new Event.ProcessStarted(0, "p1", 1),
                    new Event.ChangeAccepted(0, "rules", 7),
                    new Event.ProcessEnded(7_001, "p1", 1)),
            violatingHistory(
                    Guarantee.CONFIGURATION_IN_FORCE,
                    "a change in force too late",
                    new Event.ChangeAccepted(0, "rules", 7),
                    versionInForce(7_001, "p1", 7)),
        };
    }

    @Test(dataProvider = "violatingHistories")
    public void rejectsViolatingHistory(Guarantee guarantee, String name, List<Event> events) {
        Assert.assertFalse(
                guarantee.violations(createHistory(events), TimeBounds.TARGET).isEmpty(), name);
    }

    @Test
    public void acceptsCorrectHistory() {
        List<Event> events = List.of(
                REQUEST_SENT,
                new Event.WorkStarted(1, "e1", "d1", "r2"),
                tokenReceived("r2", "g1", 1),
                tokenReceived("r2", "g1", 2),
                new Event.AnswerCompleted(5, "r2", 2),
                new Event.EffectApplied(2, "e2", "r1", "k1"),
                new Event.CallAnswered(3, "r1", "r1"),
                new Event.RequestRefused(3, "r3"),
                new Event.LoadObserved(4, "e1", 2, 2),
                new Event.Withdrawn(1_000, "d1"),
                new Event.WorkStarted(5_999, "e1", "d1", "r4"),
                new Event.Reinstated(9_000, "d1"),
                new Event.WorkStarted(20_000, "e1", "d1", "r5"),
                new Event.ChangeAccepted(0, "rules", 7),
                versionInForce(6_999, "p1", 7),
                new Event.ProcessStarted(0, "p2", 1),
                new Event.ProcessEnded(6_000, "p2", 1),
                new Event.ProcessStarted(20_000, "p2", 2),
                versionInForce(26_999, "p2", 2, 7),
                new Event.RequestSent(1, "r7", "k7", false),
                new Event.RequestRefused(2, "r7"),
                new Event.RequestSent(3, "r8", "k7", false),
                new Event.EffectApplied(4, "e1", "order", "k7"),
                new Event.PlannedStopStarted(1, "router-1", List.of("r2")),
                new Event.AnswerInterrupted(6, "r6"));
        Assert.assertEquals(Guarantee.allViolations(createHistory(events), TimeBounds.TARGET), List.of());
    }

    @Test
    public void acceptsSecondRunOfIdempotentRequest() {
        History history = createHistory(List.of(
                new Event.RequestSent(0, "r1", null, true),
                new Event.EffectApplied(1, "e1", "r1", null),
                new Event.EffectApplied(2, "e2", "r1", null)));
        Assert.assertEquals(Guarantee.allViolations(history, TimeBounds.TARGET), List.of());
    }

    private static Object[] violatingHistory(Guarantee guarantee, String name, Event... events) {
        return new Object[] {guarantee, name, List.of(events)};
    }

    private static Event tokenReceived(String request, String generation, long sequence) {
        return new Event.TokenReceived(sequence, request, generation, sequence, generation + "/" + sequence);
    }

    private static Event versionInForce(long atMillis, String process, long version) {
        return versionInForce(atMillis, process, 1, version);
    }

    private static Event versionInForce(long atMillis, String process, long incarnation, long version) {
        return new Event.VersionInForce(atMillis, process, incarnation, "rules", version);
    }

    private static History createHistory(List<Event> events) {
        History history = new History();
        events.forEach(history::add);
        return history;
    }
}
