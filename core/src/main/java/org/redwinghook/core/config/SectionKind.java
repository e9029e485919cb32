package org.redwinghook.core.config;

import java.util.Optional;

/** Kinds of sections. */
public enum SectionKind {
    /** Owners of the deployment. */
    OWNERS(Naming.KIND_ONLY),
    /** Customers, in one section or in several, such as one for each team. */
    CUSTOMERS(Naming.NAME_OPTIONAL),
    /** Services, in one section or in several, such as one for each team. */
    SERVICES(Naming.NAME_OPTIONAL),
    /** Data centres with their regions, and links between regions. */
    PLACES(Naming.KIND_ONLY),
    /** Availability of the data centre or VM in the section's name. */
    AVAILABILITY(Naming.NAME_REQUIRED),
    /** Rules of the whole deployment. */
    RULES(Naming.KIND_ONLY);

    private enum Naming {
        KIND_ONLY,
        NAME_REQUIRED,
        NAME_OPTIONAL
    }

    private static final char SEPARATOR = '.';
    private static final int MAXIMUM_NAME_LENGTH = 200;

    private final Naming naming;

    SectionKind(Naming naming) {
        this.naming = naming;
    }

    /**
     * Kind of a section.
     *
     * @param section name of the section, {@code kind} or {@code kind.name}
     * @return the kind, empty if the name is not allowed
     */
    public static Optional<SectionKind> of(String section) {
        int separator = section.indexOf(SEPARATOR);
        String key = separator < 0 ? section : section.substring(0, separator);
        for (SectionKind kind : values()) {
            if (kind.key().equals(key) && kind.allows(section, separator)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * First part of a section's name.
     *
     * @return the kind in lower case
     */
    public String key() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    /**
     * Name of a section of this kind.
     *
     * @param name second part of the name
     * @return kind and name
     */
    public String sectionName(String name) {
        return key() + SEPARATOR + name;
    }

    /**
     * Second part of a section's name.
     *
     * @param section name of the section
     * @return the part after the kind, empty if there is none
     */
    public static String nameWithin(String section) {
        int separator = section.indexOf(SEPARATOR);
        return separator < 0 ? "" : section.substring(separator + 1);
    }

    private boolean allows(String section, int nameSeparator) {
        boolean hasName = nameSeparator >= 0;
        boolean hasValidName =
                hasName && !section.substring(nameSeparator + 1).isBlank() && section.length() <= MAXIMUM_NAME_LENGTH;
        return switch (naming) {
            case KIND_ONLY -> !hasName;
            case NAME_REQUIRED -> hasValidName;
            case NAME_OPTIONAL -> !hasName || hasValidName;
        };
    }
}
