package org.redwinghook.core.engine;

import java.util.OptionalInt;
import java.util.function.Function;

import org.redwinghook.core.config.DesiredEngine;

/**
 * Current limits on weight loads.
 *
 * @param rank rank of this endpoint in the region for a desired state, from 0; empty while it is not known
 * @param concurrentLoads maximum number of endpoints in the region that load concurrently
 * @param isIdle whether no work runs at the engine
 */
public record LoadConditions(Function<DesiredEngine, OptionalInt> rank, int concurrentLoads, boolean isIdle) {}
