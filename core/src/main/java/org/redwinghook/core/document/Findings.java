package org.redwinghook.core.document;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;

/** Collects findings while a document is read. Not thread-safe. */
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
     * Whether there are no findings.
     *
     * @return true if none was added
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
     * Returns a value if there are no findings.
     *
     * @param value the value read
     * @param <T> its type
     * @return the value, or all findings
     */
    public <T> Either<List<Finding>, T> resultOf(T value) {
        return isEmpty() ? Either.right(value) : Either.left(toList());
    }
}
