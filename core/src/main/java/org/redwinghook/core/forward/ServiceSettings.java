package org.redwinghook.core.forward;

/**
 * Settings of a service whose endpoints a router calls directly.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maximumConnections maximum number of connections that an endpoint accepts from all routers together
 * @param coldRequestsPerSecond requests per second that a cold endpoint can handle; 0 if unlimited
 * @param memory memory of its engines
 */
public record ServiceSettings(
        String name, String healthPath, int maximumConnections, double coldRequestsPerSecond, EngineMemory memory) {}
