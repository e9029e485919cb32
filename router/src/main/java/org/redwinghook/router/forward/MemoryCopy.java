package org.redwinghook.router.forward;

/**
 * A copy of a run's memory at an engine.
 *
 * @param address engine that is named with the copy
 * @param handle identifier of the copy there
 */
public record MemoryCopy(String address, String handle) {}
