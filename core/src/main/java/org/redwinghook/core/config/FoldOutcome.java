package org.redwinghook.core.config;

import java.util.List;

import org.redwinghook.core.document.Finding;

/**
 * Result of folding one record, with the resulting version of its section.
 *
 * @param result the decision
 * @param current version and team of the section after the record
 * @param findings what is wrong with the section; empty unless the result is INVALID
 */
public record FoldOutcome(FoldResult result, SectionVersion current, List<Finding> findings) {

    public FoldOutcome {
        findings = List.copyOf(findings);
    }
}
