package org.redwinghook.operator;

import org.redwinghook.core.config.Availability;

/** Brings a data centre or a VM back into service. */
public final class InCommand extends AvailabilityCommand {

    @Override
    public String synopsis() {
        return "in data-centre|vm NAME --team TEAM --log HOST:PORT [--vm-list HOST:PORT] [--wait SECONDS] [--json]";
    }

    @Override
    protected Availability targetAvailability() {
        return Availability.IN;
    }

    @Override
    protected ChangeReport afterChange(OperatorSession session, SectionResult result, ChangeReport report) {
        return report;
    }
}
