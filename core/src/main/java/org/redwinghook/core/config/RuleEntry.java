package org.redwinghook.core.config;

/**
 * One entry of the rules section.
 *
 * @param name name of the rule
 */
public record RuleEntry(String name) implements SectionEntry {}
