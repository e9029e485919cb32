package org.redwinghook.core.document;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;

/** Collects findings while a document is read. Not safe for use by several threads. */
public final class Findings {

    private final List<Finding> collected = new ArrayList<>();

    /**
     * Adds a finding.
     *
     * @param finding the finding
     */
    public void add(Finding finding) {
        collected.add(finding);
    }

    /**
     * Whether nothing was found.
     *
     * @return true if there are no findings
     */
    public boolean isEmpty() {
        return collected.isEmpty();
    }

    /**
     * All findings in order of discovery.
     *
     * @return an immutable copy
     */
    public List<Finding> toList() {
        return List.copyOf(collected);
    }

    /**
     * The value, if nothing was found.
     *
     * @param value the value read
     * @param <T> its type
     * @return the value or all findings
     */
    public <T> Either<List<Finding>, T> resultOf(T value) {
        return isEmpty() ? Either.right(value) : Either.left(toList());
    }
}
