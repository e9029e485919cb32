package org.redwinghook.core.config;

import java.util.Objects;

/**
 * An operator's notice that a data centre or VM is out, given without the log. It can only restrict.
 *
 * @param kind whether a data centre or a VM is out
 * @param name name of the data centre or VM
 * @param basedOn version of the availability section that the operator knew; the notice ends with a higher one
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
