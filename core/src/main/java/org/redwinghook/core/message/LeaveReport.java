package org.redwinghook.core.message;

import java.util.List;

/**
 * What a router has learned about endpoints that leave, from other sources than the platform's store.
 *
 * @param distrustMillis time for which the receiver should not rely on the store, in milliseconds; 0 if the sender has seen
 *     no fault
 * @param notices notices of endpoints
 */
public record LeaveReport(long distrustMillis, List<LeaveNotice> notices) implements Message {

    public LeaveReport {
        notices = List.copyOf(notices);
    }
}
