package org.redwinghook.router.forward;

/**
 * A copy of a run's memory.
 *
 * @param address address of the engine that made the copy
 * @param handle identifier of the copy at that engine
 */
public record MemoryCopy(String address, String handle) {}
