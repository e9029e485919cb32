package org.redwinghook.core.engine;

import java.util.Optional;

import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.DesiredEngine;
import org.redwinghook.core.config.SectionKind;
import org.redwinghook.core.config.Service;

/**
 * Desired state of an engine with its fencing number.
 *
 * @param fencing configuration offset of the newest change to a services section
 * @param engine desired state of the service's engines
 */
public record DesiredState(long fencing, DesiredEngine engine) {

    /**
     * Desired state of a service's engines. The fencing number is the highest version among all services sections,
     * because an entry that moves between sections would otherwise get a lower number.
     *
     * @param configuration the configuration in force
     * @param service name of the service
     * @return the desired state; unspecified if the service does not exist
     */
    public static DesiredState of(Configuration configuration, String service) {
        long fencing = configuration.sections().entrySet().stream()
                .filter(section -> SectionKind.of(section.getKey()).equals(Optional.of(SectionKind.SERVICES)))
                .mapToLong(section -> section.getValue().version())
                .max()
                .orElse(0);
        DesiredEngine engine =
                configuration.service(service).map(Service::engine).orElse(DesiredEngine.UNSPECIFIED);
        return new DesiredState(fencing, engine);
    }

    /**
     * Next command that brings an engine closer to this state. The model is loaded first, since that drops the version
     * and the adapters.
     *
     * @param reported state of the engine
     * @return the command, empty if the engine has the desired state
     */
    public Optional<EngineCommand> nextCommandFor(ReportedState reported) {
        if (differs(engine.model(), reported.model())) {
            return command(EngineCommandKind.LOAD_MODEL, engine.model());
        }
        if (hasOtherVersion(reported)) {
            return command(EngineCommandKind.LOAD_VERSION, engine.version());
        }
        for (String adapter : engine.adapters()) {
            if (!reported.adapters().contains(adapter)) {
                return command(EngineCommandKind.LOAD_ADAPTER, adapter);
            }
        }
        if (differs(engine.role(), reported.role())) {
            return command(EngineCommandKind.CHANGE_ROLE, engine.role());
        }
        return Optional.empty();
    }

    /**
     * Whether new work must wait until the engine has the desired model version.
     *
     * @param reported state of the engine
     * @return true if the service drains before a change and the engine has another model or version
     */
    public boolean refusesWork(ReportedState reported) {
        return engine.drainBeforeChange() && (differs(engine.model(), reported.model()) || hasOtherVersion(reported));
    }

    private boolean hasOtherVersion(ReportedState reported) {
        return differs(engine.version(), reported.version());
    }

    private Optional<EngineCommand> command(EngineCommandKind kind, String name) {
        return Optional.of(new EngineCommand(kind, name, fencing));
    }

    private static boolean differs(String desired, String reported) {
        return !desired.isEmpty() && !desired.equals(reported);
    }
}
