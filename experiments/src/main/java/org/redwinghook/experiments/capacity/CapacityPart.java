package org.redwinghook.experiments.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** Parts of the measurement, each of which rewrites its own tables. */
public enum CapacityPart {
    /** Control costs of routers and sidecars, without callers' requests. */
    CONTROL {
        @Override
        Map<String, String> tables(Path directory) throws IOException, InterruptedException {
            return new ControlReport(new ControlCosts(directory).run()).tables();
        }
    },
    /** Time until a configuration change is in force on all processes. */
    SPREAD {
        @Override
        Map<String, String> tables(Path directory) throws IOException, InterruptedException {
            return Map.of("spread", new ChangePropagation(directory).run());
        }
    },
    /** Cost and latency of streams through a router and a sidecar. */
    STREAMS {
        @Override
        Map<String, String> tables(Path directory) throws IOException, InterruptedException {
            return Map.of("streams", new StreamCosts(directory).run());
        }
    };

    /** Runs this part and returns its tables in Markdown by the name of their markers. */
    abstract Map<String, String> tables(Path directory) throws IOException, InterruptedException;
}
