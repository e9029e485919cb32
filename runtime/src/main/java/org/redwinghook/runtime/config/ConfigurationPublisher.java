package org.redwinghook.runtime.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.ConfigurationFold;
import org.redwinghook.core.config.ConfigurationRecord;
import org.redwinghook.core.config.FoldOutcome;
import org.redwinghook.core.config.FoldResult;
import org.redwinghook.core.config.Section;
import org.redwinghook.core.config.SectionChange;
import org.redwinghook.core.config.SectionVersion;
import org.redwinghook.runtime.platform.LogPage;
import org.redwinghook.runtime.platform.LogRecord;

/**
 * Publishes changes of sections. The result is always taken from the log: after each append, acknowledged or not, the
 * publisher reads the log up to its change and folds the records. Publishes one change at a time.
 */
public final class ConfigurationPublisher {

    private static final int RECORDS_PER_READ = 500;
    private static final int MAXIMUM_ATTEMPTS = 3;

    /**
     * Delay before a read or an append is retried. A record whose append was not acknowledged may still be in transit
     * and take effect in this time.
     */
    private static final long RETRY_DELAY_MILLIS = 500;

    private final ConfigurationLog log;
    private final Scheduler scheduler;
    private final ConfigurationCodec codec = new ConfigurationCodec();
    private final ConfigurationFold fold = new ConfigurationFold();
    private String awaitedIdentifier = "";
    private @Nullable FoldOutcome awaitedOutcome;
    private long awaitedOffset;

    /**
     * Creates a publisher.
     *
     * @param log stream of configuration records
     * @param scheduler clock and timers
     */
    public ConfigurationPublisher(ConfigurationLog log, Scheduler scheduler) {
        this.log = log;
        this.scheduler = scheduler;
    }

    /**
     * Reads the log to its end.
     *
     * @return the configuration on the log; fails if the log cannot be reached
     */
    public Future<ConfigurationFold> read() {
        return withRetries(this::readToEnd, MAXIMUM_ATTEMPTS).map(ignored -> fold);
    }

    /**
     * Replaces the content of a section, whatever its current version is. Only the entries that differ are published.
     *
     * @param section the section with its new content
     * @param team team that makes the change
     * @param author person that makes the change
     * @return the result; never fails
     */
    public Future<PublishResult> publish(Section section, String team, String author) {
        return read().compose(current -> {
                    SectionVersion version = current.version(section.name());
                    Section existing = current.section(section.name());
                    Map<String, String> put =
                            existing == null ? section.texts() : existing.entriesToPut(section.texts());
                    List<String> remove = existing == null ? List.of() : existing.entriesToRemove(section.texts());
                    if (existing != null && put.isEmpty() && remove.isEmpty()) {
                        return Future.<PublishResult>succeededFuture(new PublishResult.Unchanged());
                    }
                    String identifier = UUID.randomUUID().toString();
                    return publish(new SectionChange(
                            section.name(), team, version.version(), identifier, author, put, remove));
                })
                .otherwise(ConfigurationPublisher::toUnknown);
    }

    /**
     * Publishes a change of a section.
     *
     * @param change the change
     * @return the result; never fails
     */
    public Future<PublishResult> publish(SectionChange change) {
        awaitedIdentifier = change.change();
        awaitedOutcome = null;
        return read().compose(current -> {
                    Optional<PublishResult> knownResult = findResult(change).or(() -> findRejection(current, change));
                    return knownResult.map(Future::succeededFuture).orElseGet(() -> append(change, MAXIMUM_ATTEMPTS));
                })
                .otherwise(ConfigurationPublisher::toUnknown);
    }

    private Future<PublishResult> append(SectionChange change, int attempts) {
        return log.append(codec.encode(change))
                .map(offset -> "")
                .otherwise(failure -> "the append was not acknowledged: " + failure.getMessage())
                .compose(problem -> readBack(change, problem, attempts));
    }

    private Future<PublishResult> readBack(SectionChange change, String problem, int attempts) {
        return read().compose(current -> {
            Optional<PublishResult> result = findResult(change).or(() -> findRejection(current, change));
            if (result.isPresent()) {
                return Future.succeededFuture(result.get());
            }
            if (attempts <= 1) {
                return Future.succeededFuture(
                        new PublishResult.Unknown(problem.isEmpty() ? "the change was not found on the log" : problem));
            }
            return afterDelay(() -> append(change, attempts - 1));
        });
    }

    /** Returns the result of the change if it has been read from the log. */
    private Optional<PublishResult> findResult(SectionChange change) {
        FoldOutcome outcome = awaitedOutcome;
        if (outcome == null) {
            return Optional.empty();
        }
        boolean isInForce = fold.version(change.section()).version() == awaitedOffset;
        if (outcome.result() == FoldResult.ACCEPTED || isInForce) {
            return Optional.of(new PublishResult.Accepted(awaitedOffset));
        }
        if (outcome.result() == FoldResult.INVALID) {
            return Optional.of(new PublishResult.Invalid(outcome.findings()));
        }
        SectionVersion acceptedVersion =
                outcome.result() == FoldResult.PENDING ? fold.version(change.section()) : outcome.current();
        return Optional.of(new PublishResult.Conflict(acceptedVersion.version(), acceptedVersion.team()));
    }

    /** Returns why a change that is not on the log would be rejected, so that it need not be appended. */
    private static Optional<PublishResult> findRejection(ConfigurationFold current, SectionChange change) {
        SectionVersion version = current.version(change.section());
        boolean isOwnedByOtherTeam = version.version() > 0 && !version.team().equals(change.team());
        if (version.version() != change.replaces() || isOwnedByOtherTeam) {
            return Optional.of(new PublishResult.Conflict(version.version(), version.team()));
        }
        Section existing = current.section(change.section());
        return (existing == null
                        ? Section.read(change.section(), change.put())
                        : existing.withChange(change.put(), change.remove()))
                .swap()
                .toJavaOptional()
                .map(PublishResult.Invalid::new);
    }

    private Future<Void> readToEnd() {
        return log.read(fold.offset() + 1, RECORDS_PER_READ).compose(page -> {
            applyPage(page);
            boolean isAtEnd =
                    fold.offset() + 1 >= page.nextOffset() || page.records().isEmpty();
            if (!isAtEnd) {
                return readToEnd();
            }
            fold.markLogEndReached();
            return Future.succeededFuture();
        });
    }

    private void applyPage(LogPage page) {
        fold.startAt(page.firstOffset());
        for (LogRecord entry : page.records()) {
            codec.decode(entry.data())
                    .onSuccess(decoded -> applyRecord(entry, decoded))
                    .onFailure(failure -> fold.skip(entry.offset()));
        }
    }

    private void applyRecord(LogRecord entry, ConfigurationRecord decoded) {
        FoldOutcome outcome = fold.fold(entry.offset(), entry.timestampMillis(), decoded);
        boolean isAwaited =
                decoded instanceof SectionChange change && change.change().equals(awaitedIdentifier);
        boolean isAlreadyAccepted = awaitedOutcome != null && awaitedOutcome.result() == FoldResult.ACCEPTED;
        if (isAwaited && !isAlreadyAccepted) {
            awaitedOutcome = outcome;
            awaitedOffset = entry.offset();
        }
    }

    private <T> Future<T> withRetries(Supplier<Future<T>> action, int attempts) {
        return action.get()
                .recover(failure -> attempts <= 1
                        ? Future.failedFuture(failure)
                        : afterDelay(() -> withRetries(action, attempts - 1)));
    }

    private <T> Future<T> afterDelay(Supplier<Future<T>> action) {
        Promise<T> promise = Promise.promise();
        scheduler.schedule(RETRY_DELAY_MILLIS, () -> action.get().onComplete(promise));
        return promise.future();
    }

    private static PublishResult toUnknown(Throwable failure) {
        return new PublishResult.Unknown("the log cannot be reached: " + failure.getMessage());
    }
}
