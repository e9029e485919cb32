package org.redwinghook.core.once;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.KeyStage;

/**
 * Report of an executor about an attempt of its own.
 *
 * @param stage how far it is
 * @param answer answer of the service if it is done and still in memory; later it is on the log only
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
