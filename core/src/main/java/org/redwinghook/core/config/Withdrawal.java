package org.redwinghook.core.config;

import java.util.Objects;

/**
 * An operator's notice, given without the log, that a data centre or VM takes no new work. It can only restrict
 * availability.
 *
 * @param kind whether a data centre or a VM is out
 * @param name name of the data centre or VM
 * @param basedOn version of the availability section that the operator knew; a higher version ends the notice
 */
public record Withdrawal(PlaceKind kind, String name, long basedOn) {

    public Withdrawal {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
    }

    /**
     * Section whose next version ends this notice.
     *
     * @return name of the section
     */
    public String section() {
        return SectionKind.AVAILABILITY.sectionName(name);
    }
}
