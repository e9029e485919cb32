package org.redwinghook.systemtests.history;

/**
 * A guarantee that a run broke.
 *
 * @param guarantee the guarantee
 * @param description what happened, with the request, process or section
 */
public record Violation(Guarantee guarantee, String description) {}
