package org.redwinghook.core.receive;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the connection that is closed when there are too many. Load: some thousand connections of callers that send
 * nothing, or too slowly, beside callers that reuse their connections.
 */
public final class ConnectionEviction {

    private static final Comparator<HeldConnection> LEAST_USEFUL_FIRST =
            Comparator.comparing(HeldConnection::hasServed).thenComparingLong(HeldConnection::lastProgressMillis);

    private final double addressShare;

    /**
     * Creates the decision.
     *
     * @param addressShare share of the connections that callers of one address may have while others need them
     */
    public ConnectionEviction(double addressShare) {
        this.addressShare = addressShare;
    }

    /**
     * Chooses a connection. Connections of an address that exceeds its share come first, then those on which no response
     * was read, then those without progress for the longest time.
     *
     * @param connections all connections, more than are allowed
     * @return the connection, null if none may be closed
     */
    public @Nullable HeldConnection choose(Collection<? extends HeldConnection> connections) {
        String largest = exceedingAddress(connections);
        HeldConnection chosen = null;
        for (HeldConnection connection : connections) {
            if (!connection.mayClose() || (largest != null && !largest.equals(connection.address()))) {
                continue;
            }
            if (chosen == null || LEAST_USEFUL_FIRST.compare(connection, chosen) < 0) {
                chosen = connection;
            }
        }
        return chosen;
    }

    /** Address with more connections than its share, null if there is none or if no other address has a connection. */
    private @Nullable String exceedingAddress(Collection<? extends HeldConnection> connections) {
        Map<String, Integer> counts = new HashMap<>();
        for (HeldConnection connection : connections) {
            counts.merge(connection.address(), connection.mayClose() ? 1 : 0, Integer::sum);
        }
        if (counts.size() < 2) {
            return null;
        }
        return counts.entrySet().stream()
                .filter(entry -> entry.getValue() > addressShare * connections.size())
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(null);
    }
}
