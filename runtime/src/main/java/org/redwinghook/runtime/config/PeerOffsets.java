package org.redwinghook.runtime.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.SectionState;
import org.redwinghook.core.message.ConfigurationPull;
import org.redwinghook.core.message.ConfigurationRecords;

/** What the peers are known to have folded, and the pull that is under way. */
final class PeerOffsets {

    private static final long NOT_HEARD = -1;
    private static final long PULL_TIMEOUT_MILLIS = 2_000;

    private final Map<ConfigurationPeer, Long> offsets = new LinkedHashMap<>();
    private final List<SectionState> partsReceived = new ArrayList<>();
    private @Nullable ConfigurationPeer pulledFrom;
    private long pullEndsMillis;

    void opened(ConfigurationPeer peer) {
        offsets.put(peer, NOT_HEARD);
    }

    void closed(ConfigurationPeer peer) {
        offsets.remove(peer);
        if (peer == pulledFrom) {
            endPull();
        }
    }

    void heard(ConfigurationPeer peer, long offset) {
        offsets.computeIfPresent(peer, (known, before) -> offset);
    }

    List<ConfigurationPeer> behind(long offset) {
        return offsets.entrySet().stream()
                .filter(entry -> entry.getValue() < offset)
                .map(Map.Entry::getKey)
                .toList();
    }

    List<ConfigurationPeer> others(@Nullable ConfigurationPeer except) {
        return offsets.keySet().stream().filter(peer -> peer != except).toList();
    }

    int open() {
        return offsets.size();
    }

    long responded() {
        return offsets.values().stream().filter(offset -> offset != NOT_HEARD).count();
    }

    long highest() {
        return offsets.values().stream().mapToLong(Long::longValue).max().orElse(NOT_HEARD);
    }

    /** Pulls from the peer with the highest offset, unless a pull is under way or none is ahead. */
    boolean pull(long offset, boolean whole, long nowMillis) {
        if (pulledFrom != null && nowMillis < pullEndsMillis) {
            return false;
        }
        ConfigurationPeer late = pulledFrom;
        endPull();
        Optional<ConfigurationPeer> best = offsets.entrySet().stream()
                .filter(entry -> entry.getValue() > offset)
                // A peer that did not answer in time is asked again only if no other one is ahead.
                .max(Map.Entry.<ConfigurationPeer, Long>comparingByValue()
                        .thenComparing(entry -> entry.getKey() == late ? 0 : 1))
                .map(Map.Entry::getKey);
        if (best.isEmpty()) {
            return false;
        }
        pulledFrom = best.get();
        pullEndsMillis = nowMillis + PULL_TIMEOUT_MILLIS;
        best.get().send(new ConfigurationPull(offset, whole));
        return true;
    }

    /**
     * Collects the parts of an answer.
     *
     * @return all sections of the answer after its last part, empty before
     */
    Optional<List<SectionState>> part(ConfigurationPeer peer, ConfigurationRecords part, long nowMillis) {
        if (peer != pulledFrom) {
            return Optional.empty();
        }
        partsReceived.addAll(part.sections());
        pullEndsMillis = nowMillis + PULL_TIMEOUT_MILLIS;
        if (!part.last()) {
            return Optional.empty();
        }
        List<SectionState> all = List.copyOf(partsReceived);
        endPull();
        return Optional.of(all);
    }

    private void endPull() {
        pulledFrom = null;
        partsReceived.clear();
    }
}
