package org.redwinghook.core.quarantine;

/**
 * Result of merging the evidence of another router.
 *
 * @param added what this router did not know
 * @param reply what this router knows about the parts concerned and the evidence did not say
 */
public record MergedEvidence(QuarantineEvidence added, QuarantineEvidence reply) {}
