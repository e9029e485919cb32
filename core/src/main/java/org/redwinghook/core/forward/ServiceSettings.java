package org.redwinghook.core.forward;

/**
 * Settings of a service whose endpoints a router calls directly.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maximumConnections most connections that an endpoint accepts from all routers
 * @param coldRequestsPerSecond requests a second that a cold endpoint bears; 0 if it has no such limit
 * @param memory memory of its engines
 */
public record ServiceSettings(
        String name, String healthPath, int maximumConnections, double coldRequestsPerSecond, EngineMemory memory) {}
