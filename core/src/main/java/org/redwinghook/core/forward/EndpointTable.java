package org.redwinghook.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Registered endpoints and withdrawn data centres. Entries may lapse while the store is unavailable although their
 * endpoints are live; such an endpoint stays usable for the time in which a live one registers again. Times are
 * milliseconds of a monotonic clock.
 */
public final class EndpointTable {

    /** Time within which live endpoints register again after an outage of the store, as specified by the platform. */
    public static final long REREGISTRATION_GRACE_MILLIS = 2_000;

    private final Map<String, KnownEndpoint> endpoints = new HashMap<>();
    private final Map<String, Long> expiryMillisById = new HashMap<>();
    private final Set<String> withdrawnDataCentres = new HashSet<>();

    /**
     * Adds or replaces an entry.
     *
     * @param entry the entry
     * @param nowMillis current time
     */
    public void put(EndpointEntry entry, long nowMillis) {
        expiryMillisById.remove(entry.id());
        KnownEndpoint existing = endpoints.get(entry.id());
        if (existing == null || !existing.entry().isSameIncarnation(entry)) {
            endpoints.put(entry.id(), new KnownEndpoint(entry, nowMillis));
            return;
        }
        existing.update(entry, nowMillis);
    }

    /**
     * Removes an entry.
     *
     * @param id identifier of the endpoint
     * @param mayHaveLapsed whether the entry may have lapsed only because the store was unavailable
     * @param nowMillis current time
     */
    public void remove(String id, boolean mayHaveLapsed, long nowMillis) {
        find(id).ifPresent(KnownEndpoint::recordRemoval);
        if (!mayHaveLapsed) {
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
     * @param nowMillis current time
     * @return identifiers of the removed endpoints
     */
    public List<String> expire(long nowMillis) {
        List<String> expired = new ArrayList<>();
        expiryMillisById.forEach((id, expiryMillis) -> {
            if (nowMillis >= expiryMillis) {
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
     * Withdraws a data centre from service or restores it.
     *
     * @param dataCentre the data centre
     * @param withdrawn whether its endpoints receive no new requests
     * @return whether this changed the state of the data centre
     */
    public boolean setWithdrawn(String dataCentre, boolean withdrawn) {
        return withdrawn ? withdrawnDataCentres.add(dataCentre) : withdrawnDataCentres.remove(dataCentre);
    }

    /**
     * Withdrawn data centres.
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
        return endpointsOf(service).stream()
                .filter(endpoint -> exclusion(endpoint.entry()) == null)
                .toList();
    }

    /**
     * Known endpoints of a service, whether they may receive requests or not.
     *
     * @param service name of the service
     * @return the endpoints
     */
    List<KnownEndpoint> endpointsOf(String service) {
        List<KnownEndpoint> found = new ArrayList<>();
        for (KnownEndpoint endpoint : endpoints.values()) {
            if (endpoint.entry().service().equals(service)) {
                found.add(endpoint);
            }
        }
        return found;
    }

    /**
     * Why no request may go to an endpoint, according to its entry and the operators.
     *
     * @param entry entry of the endpoint
     * @return the reason, null if requests may go there
     */
    @Nullable
    Exclusion exclusion(EndpointEntry entry) {
        if (entry.draining()) {
            return Exclusion.LEAVING;
        }
        return withdrawnDataCentres.contains(entry.dataCentre()) ? Exclusion.DATA_CENTRE_WITHDRAWN : null;
    }

    /**
     * Finds a listed endpoint, whether it is usable or not.
     *
     * @param id identifier of the endpoint
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
