package org.redwinghook.core.origin;

import java.util.Objects;

/**
 * Where a stream began.
 *
 * @param attempt identifier of the caller's attempt
 * @param begunAt service and version of the endpoint whose first event was forwarded
 */
public record StreamOrigin(String attempt, ServiceVersion begunAt) {

    public StreamOrigin {
        Objects.requireNonNull(attempt);
        Objects.requireNonNull(begunAt);
    }
}
