package org.redwinghook.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Endpoints that may take requests. Answers entries that lapse while the store is away: such an endpoint stays usable
 * for the time in which a live one registers again. Times are milliseconds of a monotonic clock.
 */
public final class EndpointTable {

    /** Time after the store's return in which live endpoints register again; from the platform's description. */
    public static final long REREGISTRATION_GRACE_MILLIS = 2_000;

    private final Map<String, KnownEndpoint> endpoints = new HashMap<>();
    private final Map<String, Long> expiryMillisById = new HashMap<>();
    private final Set<String> withdrawnDataCentres = new HashSet<>();

    /**
     * Adds or replaces an entry.
     *
     * @param entry the entry
     * @param nowMillis time now
     */
    public void put(EndpointEntry entry, long nowMillis) {
        expiryMillisById.remove(entry.id());
        KnownEndpoint known = endpoints.get(entry.id());
        if (known == null || !known.entry().isSameIncarnation(entry)) {
            endpoints.put(entry.id(), new KnownEndpoint(entry, nowMillis));
            return;
        }
        known.update(entry, nowMillis);
    }

    /**
     * Removes an entry.
     *
     * @param id identifier of the endpoint
     * @param storeWasUnavailable whether the entry may have lapsed only because the store was away
     * @param nowMillis time now
     */
    public void remove(String id, boolean storeWasUnavailable, long nowMillis) {
        if (!storeWasUnavailable) {
            endpoints.remove(id);
            expiryMillisById.remove(id);
            return;
        }
        if (endpoints.containsKey(id)) {
            expiryMillisById.putIfAbsent(id, nowMillis + REREGISTRATION_GRACE_MILLIS);
        }
    }

    /**
     * Removes endpoints that have not registered again in time.
     *
     * @param nowMillis time now
     * @return identifiers of the removed endpoints
     */
    public List<String> expire(long nowMillis) {
        List<String> expired = new ArrayList<>();
        expiryMillisById.forEach((id, until) -> {
            if (nowMillis >= until) {
                expired.add(id);
            }
        });
        expired.forEach(id -> {
            expiryMillisById.remove(id);
            endpoints.remove(id);
        });
        return expired;
    }

    /**
     * Takes a data centre out, or brings it back.
     *
     * @param dataCentre the data centre
     * @param withdrawn whether its endpoints receive no new requests
     * @return whether this changed anything
     */
    public boolean setWithdrawn(String dataCentre, boolean withdrawn) {
        return withdrawn ? withdrawnDataCentres.add(dataCentre) : withdrawnDataCentres.remove(dataCentre);
    }

    /**
     * Data centres that are out.
     *
     * @return their names
     */
    public Set<String> withdrawnDataCentres() {
        return Set.copyOf(withdrawnDataCentres);
    }

    /**
     * Endpoints of a service that take new requests.
     *
     * @param service name of the service
     * @return the endpoints
     */
    public List<KnownEndpoint> usableEndpoints(String service) {
        List<KnownEndpoint> usable = new ArrayList<>();
        for (KnownEndpoint known : endpoints.values()) {
            EndpointEntry entry = known.entry();
            if (entry.service().equals(service)
                    && !entry.draining()
                    && !withdrawnDataCentres.contains(entry.dataCentre())) {
                usable.add(known);
            }
        }
        return usable;
    }

    /**
     * An endpoint that is listed, usable or not.
     *
     * @param id its identifier
     * @return the endpoint, empty if it is not listed
     */
    public Optional<KnownEndpoint> find(String id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /**
     * Listed endpoints.
     *
     * @return their entries
     */
    public List<EndpointEntry> entries() {
        return endpoints.values().stream().map(KnownEndpoint::entry).toList();
    }

    /**
     * Number of listed endpoints.
     *
     * @return the number
     */
    public int size() {
        return endpoints.size();
    }
}
