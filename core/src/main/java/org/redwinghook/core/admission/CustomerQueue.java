package org.redwinghook.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/** Waiting requests of one customer and the tokens that were served to it. */
final class CustomerQueue {

    private final String owner;
    private final String customer;
    private final Share share = new Share();
    private final Deque<WorkItem> quickItems = new ArrayDeque<>();
    private final Deque<WorkItem> longItems = new ArrayDeque<>();

    CustomerQueue(String owner, String customer) {
        this.owner = owner;
        this.customer = customer;
    }

    String owner() {
        return owner;
    }

    String customer() {
        return customer;
    }

    Share share() {
        return share;
    }

    Deque<WorkItem> items(boolean isQuick) {
        return isQuick ? quickItems : longItems;
    }
}
