package org.redwinghook.core.origin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Software versions at which streams began, by service and identifier of the caller's attempt. Bounded: the entries that
 * were recorded first go first, and their streams then count as unknown. Times are milliseconds of a monotonic clock.
 * Confined to one event loop.
 */
public final class StreamOrigins {

    /** Maximum number of entries: a minute of 1,000 streams a second. */
    public static final int MAXIMUM_ENTRIES = 65_536;

    /** Maximum length of an identifier; streams with a longer one are not recorded. */
    public static final int MAXIMUM_IDENTIFIER_CHARACTERS = 128;

    private record Key(String service, String attempt) {}

    private record Entry(String version, long recordedAtMillis) {}

    private final Map<Key, Entry> entries = new LinkedHashMap<>();

    /**
     * Records where a stream began. A later record of the same attempt renews the entry.
     *
     * @param origin the origin
     * @param nowMillis current time
     */
    public void record(StreamOrigin origin, long nowMillis) {
        if (origin.attempt().length() > MAXIMUM_IDENTIFIER_CHARACTERS) {
            return;
        }
        Key key = new Key(origin.begunAt().service(), origin.attempt());
        entries.remove(key);
        entries.put(key, new Entry(origin.begunAt().version(), nowMillis));
        if (entries.size() > MAXIMUM_ENTRIES) {
            Iterator<Key> oldest = entries.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Finds the version at which a stream began.
     *
     * @param service name of its service
     * @param attempt identifier of the caller's attempt
     * @return the version, empty if it is not known
     */
    public Optional<String> find(String service, String attempt) {
        return Optional.ofNullable(entries.get(new Key(service, attempt))).map(Entry::version);
    }

    /**
     * Origins of the streams of a service.
     *
     * @param service name of the service
     * @param sinceMillis time since which they were recorded
     * @return the origins, oldest first
     */
    public List<StreamOrigin> recordedSince(String service, long sinceMillis) {
        List<StreamOrigin> origins = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (key.service().equals(service) && entry.recordedAtMillis() >= sinceMillis) {
                origins.add(new StreamOrigin(key.attempt(), new ServiceVersion(service, entry.version())));
            }
        });
        return origins;
    }

    /**
     * Removes the entries that were recorded before a time.
     *
     * @param oldestMillis the time
     */
    public void removeBefore(long oldestMillis) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            if (oldest.next().recordedAtMillis() >= oldestMillis) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Number of entries.
     *
     * @return the number
     */
    public int size() {
        return entries.size();
    }
}
