package org.redwinghook.core.message;

import java.util.List;

/**
 * Work of a router at all endpoints; replaces its report before.
 *
 * @param router name of the router
 * @param work its work, without idle endpoints
 * @param readsStore whether its last read of the platform's store succeeded
 */
public record WorkReport(String router, List<EndpointWork> work, boolean readsStore) implements Message {

    public WorkReport {
        work = List.copyOf(work);
    }
}
