package org.redwinghook.core.engine;

import java.util.List;

/**
 * State that an engine reports.
 *
 * @param model loaded model, empty for none
 * @param version loaded version, empty for none
 * @param adapters loaded adapters
 * @param role role, empty for none
 * @param fencing highest fencing number among the applied commands
 */
public record ReportedState(String model, String version, List<String> adapters, String role, long fencing) {

    public ReportedState {
        adapters = List.copyOf(adapters);
    }
}
