package org.redwinghook.core.origin;

import java.util.Objects;

/**
 * A software version of a service's endpoints.
 *
 * @param service name of the service
 * @param version the version, empty if its endpoints name none
 */
public record ServiceVersion(String service, String version) {

    public ServiceVersion {
        Objects.requireNonNull(service);
        Objects.requireNonNull(version);
    }
}
