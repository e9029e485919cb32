package org.redwinghook.standins.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * State of an engine that results from the applied commands.
 *
 * @param model loaded model; empty if none
 * @param version loaded version; empty if none
 * @param adapters loaded adapters in the order of their commands
 * @param role role; empty if none
 * @param fencing highest fencing number among the applied commands
 */
public record EngineState(String model, String version, List<String> adapters, String role, long fencing) {

    /** State of an engine that has applied no commands. */
    public static final EngineState INITIAL = new EngineState("", "", List.of(), "", 0);

    public EngineState {
        adapters = List.copyOf(adapters);
    }

    EngineState apply(EngineCommand command) {
        long highestFencing = Math.max(fencing, command.fencing());
        String name = command.name();
        return switch (command.kind()) {
            case LOAD_MODEL -> new EngineState(name, "", List.of(), role, highestFencing);
            case LOAD_ADAPTER -> new EngineState(model, version, withAdapter(name), role, highestFencing);
            case LOAD_VERSION -> new EngineState(model, name, adapters, role, highestFencing);
            case CHANGE_ROLE -> new EngineState(model, version, adapters, name, highestFencing);
        };
    }

    private List<String> withAdapter(String adapter) {
        if (adapters.contains(adapter)) {
            return adapters;
        }
        List<String> extended = new ArrayList<>(adapters);
        extended.add(adapter);
        return extended;
    }
}
