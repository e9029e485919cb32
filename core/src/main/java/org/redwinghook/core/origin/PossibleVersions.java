package org.redwinghook.core.origin;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Software versions that may have begun streams which callers still resume: those that are listed, those that were listed
 * within the lifetime of a stream, and those that the store has a record of. That an endpoint has left proves nothing; only
 * the removal of the record does. Times are milliseconds of a monotonic clock. Confined to one event loop.
 */
public final class PossibleVersions {

    private final Map<ServiceVersion, Long> lastListedMillis = new HashMap<>();
    private final Set<ServiceVersion> recorded = new HashSet<>();
    private final Set<ServiceVersion> listed = new HashSet<>();

    /**
     * Updates the versions of the listed endpoints.
     *
     * @param versions all of them
     * @param nowMillis current time
     */
    public void updateListed(Collection<ServiceVersion> versions, long nowMillis) {
        // A version was listed until now if it is no longer.
        listed.forEach(version -> lastListedMillis.put(version, nowMillis));
        listed.clear();
        listed.addAll(versions);
        listed.forEach(version -> lastListedMillis.put(version, nowMillis));
    }

    /**
     * Adds the version of a listed endpoint.
     *
     * @param version the version
     * @param nowMillis current time
     * @return whether it was not known
     */
    public boolean addListed(ServiceVersion version, long nowMillis) {
        listed.add(version);
        return lastListedMillis.put(version, nowMillis) == null;
    }

    /**
     * Updates the versions that have a record in the store.
     *
     * @param versions all of them
     * @param nowMillis current time
     */
    public void updateRecorded(Collection<ServiceVersion> versions, long nowMillis) {
        recorded.clear();
        recorded.addAll(versions);
        // Nothing is known about the time before this router read the record.
        recorded.forEach(version -> lastListedMillis.putIfAbsent(version, nowMillis));
    }

    /**
     * Counts all known versions as listed until now, since they may have been while nothing was heard of the list.
     *
     * @param nowMillis current time
     */
    public void renew(long nowMillis) {
        lastListedMillis.replaceAll((version, millis) -> nowMillis);
    }

    /**
     * Versions that may have begun streams.
     *
     * @param service name of the service
     * @return the versions
     */
    public Set<String> of(String service) {
        Set<String> versions = new LinkedHashSet<>();
        for (ServiceVersion version : lastListedMillis.keySet()) {
            if (version.service().equals(service)) {
                versions.add(version.version());
            }
        }
        return versions;
    }

    /**
     * Forgets the versions without a record that have not been listed for the lifetime of a stream.
     *
     * @param lifetimes lifetimes of streams
     * @param nowMillis current time
     */
    public void expire(StreamLifetimes lifetimes, long nowMillis) {
        lastListedMillis
                .keySet()
                .removeIf(version -> !recorded.contains(version) && isOutlived(version, lifetimes, nowMillis));
    }

    /**
     * Versions that need a record in the store and have none.
     *
     * @param lifetimes lifetimes of streams
     * @return the versions
     */
    public Set<ServiceVersion> withoutRecord(StreamLifetimes lifetimes) {
        Set<ServiceVersion> missing = new LinkedHashSet<>();
        for (ServiceVersion version : lastListedMillis.keySet()) {
            if (!recorded.contains(version) && lifetimes.services().contains(version.service())) {
                missing.add(version);
            }
        }
        return missing;
    }

    /**
     * Versions whose record in the store is not needed any more.
     *
     * @param lifetimes lifetimes of streams
     * @param nowMillis current time
     * @return the versions
     */
    public Set<ServiceVersion> withOutlivedRecord(StreamLifetimes lifetimes, long nowMillis) {
        Set<ServiceVersion> outlived = new LinkedHashSet<>();
        for (ServiceVersion version : recorded) {
            if (isOutlived(version, lifetimes, nowMillis)) {
                outlived.add(version);
            }
        }
        return outlived;
    }

    private boolean isOutlived(ServiceVersion version, StreamLifetimes lifetimes, long nowMillis) {
        return !listed.contains(version)
                && nowMillis - lastListedMillis.getOrDefault(version, nowMillis) >= lifetimes.millis(version.service());
    }
}
