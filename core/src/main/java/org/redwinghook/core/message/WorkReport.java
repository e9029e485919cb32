package org.redwinghook.core.message;

import java.util.List;

/**
 * Work of a router at endpoints: all of it, or what has changed since its report before.
 *
 * @param router name of the router
 * @param work its work; an endpoint without running requests and memory is idle
 * @param whole whether endpoints that are not named are idle, rather than unchanged
 * @param readsStore whether its last read of the platform's store succeeded
 * @param known how much it knows of each topic of the platform's store, by position of the topic; see RecordReplica
 */
public record WorkReport(String router, List<EndpointWork> work, boolean whole, boolean readsStore, List<Long> known)
        implements Message {

    public WorkReport {
        work = List.copyOf(work);
        known = List.copyOf(known);
    }
}
