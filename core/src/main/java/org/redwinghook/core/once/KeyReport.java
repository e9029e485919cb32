package org.redwinghook.core.once;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.KeyStage;

/**
 * Report of an executor about one of its attempts.
 *
 * @param stage stage of the attempt
 * @param answer answer of the service if the attempt is done and the answer is still in memory; later it is only on the
 *     log
 */
public record KeyReport(KeyStage stage, @Nullable StoredAnswer answer) {

    static KeyReport of(Outcome outcome) {
        return switch (outcome.kind()) {
            case DONE -> new KeyReport(KeyStage.DONE, outcome.answer());
            case NOT_RUN -> new KeyReport(KeyStage.NOT_RUN, null);
            case UNKNOWN -> new KeyReport(KeyStage.UNKNOWN, null);
        };
    }
}
