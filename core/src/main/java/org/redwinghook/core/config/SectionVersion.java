package org.redwinghook.core.config;

/**
 * Version and team of a section.
 *
 * @param version offset of the last accepted change; 0 if the section is absent
 * @param team team that owns the section
 */
public record SectionVersion(long version, String team) {

    /** Version of a section that does not exist. */
    public static final SectionVersion ABSENT = new SectionVersion(0, "");
}
