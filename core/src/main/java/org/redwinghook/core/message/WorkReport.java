package org.redwinghook.core.message;

import java.util.List;

/**
 * Work that a router has in progress at endpoints: all of it, or the changes since its previous report.
 *
 * @param router name of the router
 * @param work work of the router by endpoint; an endpoint without running requests and memory is idle
 * @param whole whether the report is complete, so that endpoints that are not listed are idle rather than unchanged
 * @param readsStore whether the router's last read of the platform's store succeeded
 * @param known offset sum of the router's copy of each topic of the platform's store, in the order of the topics; see
 *     RecordReplica.offsetSum
 * @param era era of the store to which the offsets belong, 0 if the router knows none
 */
public record WorkReport(
        String router, List<EndpointWork> work, boolean whole, boolean readsStore, List<Long> known, long era)
        implements Message {

    public WorkReport {
        work = List.copyOf(work);
        known = List.copyOf(known);
    }
}
