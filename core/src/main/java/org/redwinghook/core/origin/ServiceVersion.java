package org.redwinghook.core.origin;

/**
 * A software version of a service's endpoints.
 *
 * @param service name of the service
 * @param version the version, empty if its endpoints name none
 */
public record ServiceVersion(String service, String version) {}
