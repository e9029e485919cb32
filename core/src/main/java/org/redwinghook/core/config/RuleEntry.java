package org.redwinghook.core.config;

/**
 * One rule as it is written.
 *
 * @param name name of the rule
 */
public record RuleEntry(String name) implements SectionEntry {}
