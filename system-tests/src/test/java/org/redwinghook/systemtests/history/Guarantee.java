package org.redwinghook.systemtests.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/** The guarantees of the design page, each with its check. */
public enum Guarantee {
    /** Each token reaches the caller once, in order, and from a single generation. */
    TOKENS_ONCE_IN_ORDER {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            Map<String, Event.TokenReceived> previous = new HashMap<>();
            for (Event.TokenReceived token : history.eventsOf(Event.TokenReceived.class)) {
                Event.TokenReceived before = previous.put(token.request(), token);
                long expected = before == null ? 1 : before.sequence() + 1;
                if (before != null && !before.generation().equals(token.generation())) {
                    reporter.report(token.request() + " received tokens of " + before.generation() + " and "
                            + token.generation());
                } else if (token.sequence() != expected) {
                    reporter.report(
                            token.request() + " received token " + token.sequence() + " in place of " + expected);
                } else if (!token.text().endsWith("/" + token.sequence())) {
                    reporter.report(
                            token.request() + " received the text '" + token.text() + "' as token " + token.sequence());
                }
            }
        }
    },
    /** An endpoint that has just started receives no more work than it can bear. */
    NO_OVERLOAD {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            for (Event.LoadObserved load : history.eventsOf(Event.LoadObserved.class)) {
                if (load.runningRequests() > load.capacity()) {
                    reporter.report(load.endpoint() + " ran " + load.runningRequests() + " requests with a capacity of "
                            + load.capacity());
                }
            }
        }
    },
    /** A data centre or endpoint that is out or leaving receives no new work after a few seconds. */
    NO_NEW_WORK_AFTER_WITHDRAWAL {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            for (Event.WorkStarted work : history.eventsOf(Event.WorkStarted.class)) {
                for (String place : List.of(work.endpoint(), work.dataCentre())) {
                    Long outSince = outSince(history, place, work.atMillis());
                    if (outSince != null && work.atMillis() > outSince + bounds.maximumWithdrawalMillis()) {
                        reporter.report(work.endpoint() + " started " + work.request() + " "
                                + (work.atMillis() - outSince) + " ms after " + place + " was taken out");
                    }
                }
            }
        }

        private @Nullable Long outSince(History history, String place, long atMillis) {
            Long since = null;
            for (Event.Withdrawn out : history.eventsOf(Event.Withdrawn.class)) {
                if (out.target().equals(place) && out.atMillis() <= atMillis) {
                    since = since == null ? out.atMillis() : since;
                    since = broughtBackBetween(history, place, since, atMillis) ? out.atMillis() : since;
                }
            }
            return since == null || broughtBackBetween(history, place, since, atMillis) ? null : since;
        }

        private boolean broughtBackBetween(History history, String place, long from, long to) {
            for (Event.Reinstated back : history.eventsOf(Event.Reinstated.class)) {
                if (back.target().equals(place) && back.atMillis() > from && back.atMillis() <= to) {
                    return true;
                }
            }
            return false;
        }
    },
    /** A caller receives the whole answer to its own request. */
    COMPLETE_OWN_ANSWER {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            for (Event.CallAnswered answer : history.eventsOf(Event.CallAnswered.class)) {
                if (!answer.request().equals(answer.echoedRequest())) {
                    reporter.report(answer.request() + " received the answer to " + answer.echoedRequest());
                }
            }
            Map<String, Long> received = new HashMap<>();
            Map<String, String> producers = new HashMap<>();
            for (Event.TokenReceived token : history.eventsOf(Event.TokenReceived.class)) {
                received.merge(token.request(), 1L, Long::sum);
                String producer =
                        token.text().substring(0, Math.max(0, token.text().lastIndexOf('/')));
                String known = producers.putIfAbsent(token.request(), producer);
                if (known != null && !known.equals(producer)) {
                    reporter.report(token.request() + " received texts of " + known + " and " + producer);
                }
            }
            Map<String, String> requestOfProducer = new HashMap<>();
            producers.forEach((request, producer) -> {
                String other = requestOfProducer.putIfAbsent(producer, request);
                if (other != null) {
                    reporter.report(request + " and " + other + " both received the tokens of " + producer);
                }
            });
            for (Event.AnswerCompleted whole : history.eventsOf(Event.AnswerCompleted.class)) {
                long tokens = received.getOrDefault(whole.request(), 0L);
                if (tokens != whole.reportedTokens()) {
                    reporter.report(whole.request() + " was called whole with " + whole.reportedTokens()
                            + " tokens and received " + tokens);
                }
            }
        }
    },
    /** A refusal that says "not run" is true. */
    REFUSED_REQUESTS_NEVER_RUN {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            Set<String> refused = new HashSet<>();
            history.eventsOf(Event.RequestRefused.class).forEach(event -> refused.add(event.request()));
            for (Event.EffectApplied effect : history.eventsOf(Event.EffectApplied.class)) {
                if (refused.contains(effect.request())) {
                    reporter.report(
                            effect.request() + " was refused as not run and took effect at " + effect.endpoint());
                }
            }
            for (Event.WorkStarted work : history.eventsOf(Event.WorkStarted.class)) {
                if (refused.contains(work.request())) {
                    reporter.report(work.request() + " was refused as not run and started at " + work.endpoint());
                }
            }
            checkKeys(history, refused, reporter);
        }

        /** An effect under a key needs an attempt under this key that was sent before and was not refused. */
        private void checkKeys(History history, Set<String> refused, Reporter reporter) {
            for (Event.EffectApplied effect : history.eventsOf(Event.EffectApplied.class)) {
                boolean isKnown = false;
                boolean isExplained = effect.key() == null;
                for (Event.RequestSent sent : history.eventsOf(Event.RequestSent.class)) {
                    boolean isAttempt = sent.key() != null && sent.key().equals(effect.key());
                    isKnown |= isAttempt;
                    isExplained |=
                            isAttempt && sent.atMillis() <= effect.atMillis() && !refused.contains(sent.request());
                }
                if (isKnown && !isExplained) {
                    reporter.report("key " + effect.key() + " took effect at " + effect.endpoint()
                            + " though each attempt before was refused as not run");
                }
            }
        }
    },
    /** A non-idempotent request runs at most once. */
    AT_MOST_ONCE {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            Set<String> idempotent = new HashSet<>();
            for (Event.RequestSent sent : history.eventsOf(Event.RequestSent.class)) {
                if (sent.idempotent()) {
                    idempotent.add(sent.request());
                }
            }
            Map<String, String> first = new HashMap<>();
            for (Event.EffectApplied effect : history.eventsOf(Event.EffectApplied.class)) {
                if (idempotent.contains(effect.request())) {
                    continue;
                }
                String identity = effect.key() == null ? "request " + effect.request() : "key " + effect.key();
                String endpoint = first.putIfAbsent(identity, effect.endpoint());
                if (endpoint != null) {
                    reporter.report(identity + " ran at " + endpoint + " and again at " + effect.endpoint());
                }
            }
        }
    },
    /** Every planned stop cuts no request. */
    PLANNED_STOPS_INTERRUPT_NOTHING {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            Map<String, String> stopped = new HashMap<>();
            for (Event.PlannedStopStarted stop : history.eventsOf(Event.PlannedStopStarted.class)) {
                stop.runningRequests().forEach(request -> stopped.put(request, stop.process()));
            }
            for (Event.AnswerInterrupted cut : history.eventsOf(Event.AnswerInterrupted.class)) {
                if (stopped.containsKey(cut.request())) {
                    reporter.report(cut.request() + " was cut by the planned stop of " + stopped.get(cut.request()));
                }
            }
            for (Event.OutcomeUnknown unknown : history.eventsOf(Event.OutcomeUnknown.class)) {
                if (stopped.containsKey(unknown.request())) {
                    reporter.report(unknown.request() + " lost its outcome by the planned stop of "
                            + stopped.get(unknown.request()));
                }
            }
        }
    },
    /** An accepted configuration is in force everywhere within seconds and never reverts. */
    CONFIGURATION_IN_FORCE {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            Map<String, Long> highest = new HashMap<>();
            Set<String> processes = new HashSet<>();
            Map<String, Long> started = new HashMap<>();
            Map<String, Long> ended = new HashMap<>();
            for (Event.ProcessStarted start : history.eventsOf(Event.ProcessStarted.class)) {
                processes.add(start.process() + "#" + start.incarnation());
                started.put(start.process() + "#" + start.incarnation(), start.atMillis());
            }
            for (Event.ProcessEnded end : history.eventsOf(Event.ProcessEnded.class)) {
                ended.put(end.process() + "#" + end.incarnation(), end.atMillis());
            }
            for (Event.VersionInForce version : history.eventsOf(Event.VersionInForce.class)) {
                processes.add(version.process() + "#" + version.incarnation());
                String place = version.process() + "#" + version.incarnation() + " " + version.section();
                Long before = highest.get(place);
                if (before != null && version.version() < before) {
                    reporter.report(place + " went back from " + before + " to " + version.version());
                }
                highest.merge(place, version.version(), Math::max);
            }
            for (Event.ChangeAccepted accepted : history.eventsOf(Event.ChangeAccepted.class)) {
                for (String process : processes) {
                    long due = Math.max(accepted.atMillis(), started.getOrDefault(process, 0L))
                            + bounds.maximumPropagationMillis();
                    boolean isGone = ended.getOrDefault(process, Long.MAX_VALUE) < due;
                    if (!isGone && !inForceInTime(history, process, accepted, due)) {
                        reporter.report("version " + accepted.version() + " of " + accepted.section()
                                + " was not in force at " + process + " in time");
                    }
                }
            }
        }

        private boolean inForceInTime(History history, String process, Event.ChangeAccepted accepted, long due) {
            for (Event.VersionInForce version : history.eventsOf(Event.VersionInForce.class)) {
                boolean same = process.equals(version.process() + "#" + version.incarnation())
                        && version.section().equals(accepted.section());
                if (same && version.version() >= accepted.version() && version.atMillis() <= due) {
                    return true;
                }
            }
            return false;
        }
    };

    abstract void check(History history, TimeBounds bounds, Reporter reporter);

    /**
     * Checks this guarantee on a history.
     *
     * @param history the history
     * @param bounds time bounds
     * @return what broke it, empty if it held
     */
    public List<Violation> violations(History history, TimeBounds bounds) {
        List<Violation> violations = new ArrayList<>();
        check(history, bounds, description -> violations.add(new Violation(this, description)));
        return violations;
    }

    /**
     * Checks all guarantees on a history.
     *
     * @param history the history
     * @param bounds time bounds
     * @return what broke them, empty if all held
     */
    public static List<Violation> allViolations(History history, TimeBounds bounds) {
        List<Violation> violations = new ArrayList<>();
        for (Guarantee guarantee : values()) {
            violations.addAll(guarantee.violations(history, bounds));
        }
        return violations;
    }

    /** Receives descriptions of violations. */
    @FunctionalInterface
    interface Reporter {

        /**
         * Reports a violation.
         *
         * @param description what happened
         */
        void report(String description);
    }
}
