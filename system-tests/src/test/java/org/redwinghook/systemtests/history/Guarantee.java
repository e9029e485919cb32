package org.redwinghook.systemtests.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/** Guarantees of the system, each with a checker that finds violations in a history. */
public enum Guarantee {
    /** A caller receives each token exactly once, in order and from a single generation. */
    TOKENS_ONCE_IN_ORDER {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            Map<String, Event.TokenReceived> lastTokens = new HashMap<>();
            for (Event.TokenReceived token : history.eventsOf(Event.TokenReceived.class)) {
                Event.TokenReceived previous = lastTokens.put(token.request(), token);
                long expected = previous == null ? 1 : previous.sequence() + 1;
                if (previous != null && !previous.generation().equals(token.generation())) {
                    reporter.report(token.request() + " received tokens of " + previous.generation() + " and "
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
    /** A cold endpoint, which has just started, receives no more requests than it can run. */
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
    /** A withdrawn or leaving data centre or endpoint receives no new work once the time bound has passed. */
    NO_NEW_WORK_AFTER_WITHDRAWAL {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            for (Event.WorkStarted work : history.eventsOf(Event.WorkStarted.class)) {
                for (String target : List.of(work.endpoint(), work.dataCentre())) {
                    Long withdrawnSince = withdrawnSince(history, target, work.atMillis());
                    if (withdrawnSince != null && work.atMillis() > withdrawnSince + bounds.maximumWithdrawalMillis()) {
                        reporter.report(work.endpoint() + " started " + work.request() + " "
                                + (work.atMillis() - withdrawnSince) + " ms after " + target + " was withdrawn");
                    }
                }
            }
        }

        private @Nullable Long withdrawnSince(History history, String target, long atMillis) {
            Long since = null;
            for (Event.Withdrawn withdrawn : history.eventsOf(Event.Withdrawn.class)) {
                if (withdrawn.target().equals(target) && withdrawn.atMillis() <= atMillis) {
                    since = since == null ? withdrawn.atMillis() : since;
                    since = wasReinstatedBetween(history, target, since, atMillis) ? withdrawn.atMillis() : since;
                }
            }
            return since == null || wasReinstatedBetween(history, target, since, atMillis) ? null : since;
        }

        private boolean wasReinstatedBetween(History history, String target, long from, long to) {
            for (Event.Reinstated reinstated : history.eventsOf(Event.Reinstated.class)) {
                if (reinstated.target().equals(target) && reinstated.atMillis() > from && reinstated.atMillis() <= to) {
                    return true;
                }
            }
            return false;
        }
    },
    /** A caller receives the complete answer to its own request and no part of another one. */
    COMPLETE_OWN_ANSWER {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            for (Event.CallAnswered answer : history.eventsOf(Event.CallAnswered.class)) {
                if (!answer.request().equals(answer.echoedRequest())) {
                    reporter.report(answer.request() + " received the answer to " + answer.echoedRequest());
                }
            }
            Map<String, Long> receivedTokens = new HashMap<>();
            Map<String, String> producers = new HashMap<>();
            for (Event.TokenReceived token : history.eventsOf(Event.TokenReceived.class)) {
                receivedTokens.merge(token.request(), 1L, Long::sum);
                String producer =
                        token.text().substring(0, Math.max(0, token.text().lastIndexOf('/')));
                String otherProducer = producers.putIfAbsent(token.request(), producer);
                if (otherProducer != null && !otherProducer.equals(producer)) {
                    reporter.report(token.request() + " received texts of " + otherProducer + " and " + producer);
                }
            }
            Map<String, String> requestsByProducer = new HashMap<>();
            producers.forEach((request, producer) -> {
                String otherRequest = requestsByProducer.putIfAbsent(producer, request);
                if (otherRequest != null) {
                    reporter.report(request + " and " + otherRequest + " both received the tokens of " + producer);
                }
            });
            for (Event.AnswerCompleted completed : history.eventsOf(Event.AnswerCompleted.class)) {
                long tokens = receivedTokens.getOrDefault(completed.request(), 0L);
                if (tokens != completed.reportedTokens()) {
                    reporter.report(completed.request() + " was reported as complete with " + completed.reportedTokens()
                            + " tokens and received " + tokens);
                }
            }
        }
    },
    /** A request that was refused with the outcome "not-run" has not run and does not run later. */
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
                boolean hasAttempt = false;
                boolean mayHaveRun = effect.key() == null;
                for (Event.RequestSent sent : history.eventsOf(Event.RequestSent.class)) {
                    boolean isAttempt = sent.key() != null && sent.key().equals(effect.key());
                    hasAttempt |= isAttempt;
                    mayHaveRun |=
                            isAttempt && sent.atMillis() <= effect.atMillis() && !refused.contains(sent.request());
                }
                if (hasAttempt && !mayHaveRun) {
                    reporter.report("key " + effect.key() + " took effect at " + effect.endpoint()
                            + " though each earlier attempt was refused as not run");
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
            Map<String, String> firstEndpoints = new HashMap<>();
            for (Event.EffectApplied effect : history.eventsOf(Event.EffectApplied.class)) {
                if (idempotent.contains(effect.request())) {
                    continue;
                }
                String identity = effect.key() == null ? "request " + effect.request() : "key " + effect.key();
                String endpoint = firstEndpoints.putIfAbsent(identity, effect.endpoint());
                if (endpoint != null) {
                    reporter.report(identity + " ran at " + endpoint + " and again at " + effect.endpoint());
                }
            }
        }
    },
    /** A planned stop interrupts no request. */
    PLANNED_STOPS_INTERRUPT_NOTHING {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            Map<String, String> stoppingProcesses = new HashMap<>();
            for (Event.PlannedStopStarted stop : history.eventsOf(Event.PlannedStopStarted.class)) {
                stop.runningRequests().forEach(request -> stoppingProcesses.put(request, stop.process()));
            }
            for (Event.AnswerInterrupted interrupted : history.eventsOf(Event.AnswerInterrupted.class)) {
                if (stoppingProcesses.containsKey(interrupted.request())) {
                    reporter.report(interrupted.request() + " was interrupted by the planned stop of "
                            + stoppingProcesses.get(interrupted.request()));
                }
            }
            for (Event.OutcomeUnknown unknown : history.eventsOf(Event.OutcomeUnknown.class)) {
                if (stoppingProcesses.containsKey(unknown.request())) {
                    reporter.report(unknown.request() + " lost its outcome by the planned stop of "
                            + stoppingProcesses.get(unknown.request()));
                }
            }
        }
    },
    /** An accepted change is in force in all processes within the time bound and never reverts. */
    CONFIGURATION_IN_FORCE {
        @Override
        void check(History history, TimeBounds bounds, Reporter reporter) {
            Map<String, Long> highestVersions = new HashMap<>();
            Set<String> processes = new HashSet<>();
            Map<String, Long> startedAtMillis = new HashMap<>();
            Map<String, Long> endedAtMillis = new HashMap<>();
            for (Event.ProcessStarted start : history.eventsOf(Event.ProcessStarted.class)) {
                processes.add(start.process() + "#" + start.incarnation());
                startedAtMillis.put(start.process() + "#" + start.incarnation(), start.atMillis());
            }
            for (Event.ProcessEnded end : history.eventsOf(Event.ProcessEnded.class)) {
                endedAtMillis.put(end.process() + "#" + end.incarnation(), end.atMillis());
            }
            for (Event.VersionInForce version : history.eventsOf(Event.VersionInForce.class)) {
                processes.add(version.process() + "#" + version.incarnation());
                String processSection = version.process() + "#" + version.incarnation() + " " + version.section();
                Long previous = highestVersions.get(processSection);
                if (previous != null && version.version() < previous) {
                    reporter.report(processSection + " reverted from " + previous + " to " + version.version());
                }
                highestVersions.merge(processSection, version.version(), Math::max);
            }
            for (Event.ChangeAccepted accepted : history.eventsOf(Event.ChangeAccepted.class)) {
                for (String process : processes) {
                    long dueAtMillis = Math.max(accepted.atMillis(), startedAtMillis.getOrDefault(process, 0L))
                            + bounds.maximumPropagationMillis();
                    boolean endedBeforeDue = endedAtMillis.getOrDefault(process, Long.MAX_VALUE) < dueAtMillis;
                    if (!endedBeforeDue && !wasInForceInTime(history, process, accepted, dueAtMillis)) {
                        reporter.report("version " + accepted.version() + " of " + accepted.section()
                                + " was not in force at " + process + " in time");
                    }
                }
            }
        }

        private boolean wasInForceInTime(
                History history, String process, Event.ChangeAccepted accepted, long dueAtMillis) {
            for (Event.VersionInForce version : history.eventsOf(Event.VersionInForce.class)) {
                boolean isSameSection = process.equals(version.process() + "#" + version.incarnation())
                        && version.section().equals(accepted.section());
                if (isSameSection && version.version() >= accepted.version() && version.atMillis() <= dueAtMillis) {
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
     * @return the violations, empty if the guarantee held
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
     * @return the violations, empty if all guarantees held
     */
    public static List<Violation> allViolations(History history, TimeBounds bounds) {
        List<Violation> violations = new ArrayList<>();
        for (Guarantee guarantee : values()) {
            violations.addAll(guarantee.violations(history, bounds));
        }
        return violations;
    }

    /** Receives the violations that a checker finds. */
    @FunctionalInterface
    interface Reporter {

        /**
         * Reports a violation.
         *
         * @param description what happened, with the request, process or section
         */
        void report(String description);
    }
}
