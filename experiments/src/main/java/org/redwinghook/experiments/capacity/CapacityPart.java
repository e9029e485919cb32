package org.redwinghook.experiments.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** Parts of the measurement, each of which rewrites its own tables. */
public enum CapacityPart {
    /** Control cost of routers and sidecars. */
    CONTROL {
        @Override
        Map<String, String> tables(Path directory) throws IOException, InterruptedException {
            return new ControlReport(new ControlCosts(directory).run()).tables();
        }
    },
    /** Time for a configuration change to be in force on all processes. */
    SPREAD {
        @Override
        Map<String, String> tables(Path directory) throws IOException, InterruptedException {
            return Map.of("spread", new ChangePropagation(directory).run());
        }
    },
    /** Streams through a router and a sidecar. */
    STREAMS {
        @Override
        Map<String, String> tables(Path directory) throws IOException, InterruptedException {
            return Map.of("streams", new StreamCosts(directory).run());
        }
    };

    abstract Map<String, String> tables(Path directory) throws IOException, InterruptedException;
}
