package org.redwinghook.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Recent work of each customer, so that a customer with many requests does not delay others of the same priority. Load:
 * a customer that sends a request now and then beside one whose requests fill the queue.
 */
final class CustomerShares {

    /** Interval at which the recorded work is halved, in milliseconds: about one long generation. */
    private static final long HALVING_MILLIS = 5_000;

    /** Work below which a customer is forgotten. */
    private static final double LEAST_WORK = 0.5;

    private final Map<String, Share> shares = new HashMap<>();
    private long halvedAtMillis;

    Share of(String customer) {
        return shares.computeIfAbsent(customer, name -> new Share());
    }

    /** Reduces the weight of older work. Shares of customers without waiting requests are forgotten after some time. */
    void expire(long nowMillis) {
        if (nowMillis - halvedAtMillis < HALVING_MILLIS) {
            return;
        }
        halvedAtMillis = nowMillis;
        shares.values().forEach(share -> share.work /= 2);
        shares.values().removeIf(share -> share.waiting == 0 && share.work < LEAST_WORK);
    }

    /** Work of one customer. */
    static final class Share {

        private double work;
        private int waiting;

        void addWork(long added) {
            work += added;
        }

        void changeWaiting(int change) {
            waiting += change;
        }

        int round(long roundWork) {
            return (int) (work / roundWork);
        }
    }
}
