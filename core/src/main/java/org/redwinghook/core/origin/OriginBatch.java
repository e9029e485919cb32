package org.redwinghook.core.origin;

import java.util.List;

/**
 * Content of one record in the log of origins.
 *
 * @param number number of the record, increasing across restarts of the router
 * @param origins where the router's streams began
 */
public record OriginBatch(long number, List<StreamOrigin> origins) {

    public OriginBatch {
        origins = List.copyOf(origins);
    }

    /**
     * Place of the record among those that the router rewrites in turn.
     *
     * @return the place, from 0
     */
    public long slot() {
        return Math.floorMod(number, OriginBatches.SLOTS);
    }
}
