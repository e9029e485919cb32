package org.redwinghook.systemtests.history;

/**
 * A violation of a guarantee in a history.
 *
 * @param guarantee the violated guarantee
 * @param description what happened, with the request, process or section
 */
public record Violation(Guarantee guarantee, String description) {}
