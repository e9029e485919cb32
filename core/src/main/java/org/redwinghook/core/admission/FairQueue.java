package org.redwinghook.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Weighted fair queue of requests by tokens served, first between owners, then between the customers of an owner.
 * Within one owner, customers with a lower priority number go first; priorities do not apply across owners, since an
 * owner could raise its own.
 */
final class FairQueue {

    /** Number of customers above which idle ones are removed. */
    private static final int MAXIMUM_CUSTOMERS = 4_096;

    /** Wait after which a long request takes precedence over quick ones and its customer's priority is ignored. */
    private static final long AGEING_MILLIS = 2_000;

    /** Fraction of its fair share below which an owner counts as crowded out. */
    private static final double CROWDED_OUT_SHARE = 0.5;

    private final FairShares shares;
    private final Map<String, Share> owners = new HashMap<>();
    private final Map<CustomerKey, CustomerQueue> customers = new LinkedHashMap<>();
    private double ownerVirtualTime;
    private int running;
    private int quickSize;
    private int longSize;

    FairQueue(FairShares shares) {
        this.shares = shares;
    }

    int size(boolean quick) {
        return quick ? quickSize : longSize;
    }

    int size() {
        return quickSize + longSize;
    }

    /** Registers a request. It counts as present until {@link #leave}, also while it runs. */
    void enter(WorkItem item) {
        CustomerQueue queue =
                customers.computeIfAbsent(key(item), ignored -> new CustomerQueue(item.owner(), item.customer()));
        Share owner = owners.computeIfAbsent(item.owner(), ignored -> new Share());
        owner.enter(ownerVirtualTime);
        queue.share().enter(owner.innerVirtualTime());
    }

    void leave(WorkItem item) {
        queueOf(item).share().leave();
        owners.get(item.owner()).leave();
        if (customers.size() > MAXIMUM_CUSTOMERS) {
            customers.values().removeIf(queue -> queue.share().isIdle());
        }
    }

    void enqueue(WorkItem item, boolean quick) {
        queueOf(item).items(quick).add(item);
        changeSize(quick, 1);
    }

    void charge(WorkItem item, double tokens) {
        queueOf(item).share().charge(tokens, shares.customerWeight(item.customer()));
        owners.get(item.owner()).charge(tokens, shares.ownerWeight(item.owner()));
    }

    /** Finds the request that is next in fair order. */
    Optional<WorkItem> next(boolean quick, long nowMillis) {
        Comparator<CustomerQueue> order = order(quick, nowMillis);
        CustomerQueue best = null;
        for (CustomerQueue queue : customers.values()) {
            if (!queue.items(quick).isEmpty() && (best == null || order.compare(queue, best) < 0)) {
                best = queue;
            }
        }
        return best == null ? Optional.empty() : Optional.of(best.items(quick).element());
    }

    /** Counts a request as running. */
    void recordStart(WorkItem item) {
        owners.get(item.owner()).changeRunning(1);
        running++;
    }

    /** Removes a running request from the counts. */
    void recordEnd(WorkItem item) {
        owners.get(item.owner()).changeRunning(-1);
        running--;
        leave(item);
    }

    /** Whether the request's owner runs less than half of the requests to which its weight entitles it. */
    boolean isBelowShare(WorkItem item) {
        double weights = 0;
        int ownRunning = 0;
        for (Map.Entry<String, Share> owner : owners.entrySet()) {
            boolean own = owner.getKey().equals(item.owner());
            weights += own || !owner.getValue().isIdle() ? shares.ownerWeight(owner.getKey()) : 0;
            ownRunning += own ? owner.getValue().runningRequests() : 0;
        }
        return ownRunning < CROWDED_OUT_SHARE * running * shares.ownerWeight(item.owner()) / weights;
    }

    /** Position of a new request in the queue, if owners and customers are served in turn. */
    int position(WorkItem item, boolean quick) {
        return Math.min(size(quick) + 1, (waitingOf(item, quick) + 1) * shareDivisor(item, quick));
    }

    /** Whether the request's customer uses less than its share of a number of places. */
    boolean isBelowShareOfPlaces(WorkItem item, boolean quick, int places) {
        return waitingOf(item, quick) < places / shareDivisor(item, quick);
    }

    private int waitingOf(WorkItem item, boolean quick) {
        CustomerQueue queue = customers.get(key(item));
        return queue == null ? 0 : queue.items(quick).size();
    }

    /** Divisor for an equal share: number of waiting owners times number of the owner's waiting customers. */
    private int shareDivisor(WorkItem item, boolean quick) {
        Set<String> waitingOwners = new HashSet<>(Set.of(item.owner()));
        Set<String> ownersCustomers = new HashSet<>(Set.of(item.customer()));
        for (CustomerQueue queue : customers.values()) {
            if (queue.items(quick).isEmpty()) {
                continue;
            }
            waitingOwners.add(queue.owner());
            if (queue.owner().equals(item.owner())) {
                ownersCustomers.add(queue.customer());
            }
        }
        return waitingOwners.size() * ownersCustomers.size();
    }

    /** Whether a request of the class has waited so long that the class takes precedence. */
    boolean isAged(boolean quick, long nowMillis) {
        return customers.values().stream()
                .map(queue -> queue.items(quick).peek())
                .anyMatch(item -> item != null && isAged(item, nowMillis));
    }

    /** Whether a waiting request was enqueued as quick; lengths that are learned later do not reclassify it. */
    boolean isQuick(WorkItem item) {
        return queueOf(item).items(true).contains(item);
    }

    /** Removes a request from its queue to run it. */
    void dequeue(WorkItem item, boolean quick) {
        CustomerQueue queue = queueOf(item);
        if (queue.items(quick).remove(item)) {
            changeSize(quick, -1);
        }
        Share owner = owners.get(item.owner());
        ownerVirtualTime = Math.max(ownerVirtualTime, owner.servedPerWeight());
        owner.advanceInnerVirtualTime(queue.share().servedPerWeight());
    }

    Optional<WorkItem> cancel(long identifier) {
        for (boolean quick : new boolean[] {true, false}) {
            List<WorkItem> removed = removeFrom(quick, identifier);
            if (!removed.isEmpty()) {
                return Optional.of(removed.get(0));
            }
        }
        return Optional.empty();
    }

    List<WorkItem> removeExpired(long nowMillis) {
        List<WorkItem> expired = new ArrayList<>();
        for (boolean quick : new boolean[] {true, false}) {
            for (CustomerQueue queue : customers.values()) {
                expired.addAll(removeExpired(queue.items(quick), nowMillis));
            }
        }
        quickSize = countWaiting(true);
        longSize = countWaiting(false);
        return expired;
    }

    private List<WorkItem> removeFrom(boolean quick, long identifier) {
        List<WorkItem> removed = new ArrayList<>();
        for (CustomerQueue queue : customers.values()) {
            for (Iterator<WorkItem> items = queue.items(quick).iterator(); items.hasNext(); ) {
                WorkItem item = items.next();
                if (item.identifier() == identifier) {
                    items.remove();
                    changeSize(quick, -1);
                    removed.add(item);
                }
            }
        }
        return removed;
    }

    private static List<WorkItem> removeExpired(Collection<WorkItem> items, long nowMillis) {
        List<WorkItem> expired = new ArrayList<>();
        for (Iterator<WorkItem> iterator = items.iterator(); iterator.hasNext(); ) {
            WorkItem item = iterator.next();
            if (item.deadlineMillis() <= nowMillis) {
                iterator.remove();
                expired.add(item);
            }
        }
        return expired;
    }

    private Comparator<CustomerQueue> order(boolean quick, long nowMillis) {
        return Comparator.comparingDouble(
                        (CustomerQueue queue) -> owners.get(queue.owner()).servedPerWeight())
                .thenComparing(CustomerQueue::owner)
                .thenComparingInt(queue -> priority(queue.items(quick).element(), nowMillis))
                .thenComparingDouble(queue -> queue.share().servedPerWeight())
                .thenComparing(CustomerQueue::customer);
    }

    private static int priority(WorkItem item, long nowMillis) {
        return isAged(item, nowMillis) ? Integer.MIN_VALUE : item.priority();
    }

    private static boolean isAged(WorkItem item, long nowMillis) {
        return nowMillis - item.arrivalMillis() >= AGEING_MILLIS;
    }

    private CustomerQueue queueOf(WorkItem item) {
        return customers.get(key(item));
    }

    private void changeSize(boolean quick, int difference) {
        if (quick) {
            quickSize += difference;
        } else {
            longSize += difference;
        }
    }

    private int countWaiting(boolean quick) {
        return customers.values().stream()
                .mapToInt(queue -> queue.items(quick).size())
                .sum();
    }

    private static CustomerKey key(WorkItem item) {
        return new CustomerKey(item.owner(), item.customer());
    }

    private record CustomerKey(String owner, String customer) {}
}
