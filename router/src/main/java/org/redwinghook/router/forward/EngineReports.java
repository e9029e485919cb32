package org.redwinghook.router.forward;

import io.vertx.core.Future;
import org.redwinghook.core.forward.EndpointEntry;

/** Reads the reports that engines give about themselves. Each read is billed. */
public interface EngineReports {

    /**
     * Reads the report of an engine.
     *
     * @param engine the engine
     * @return the report; fails if the engine does not respond
     */
    Future<EngineReport> read(EndpointEntry engine);
}
