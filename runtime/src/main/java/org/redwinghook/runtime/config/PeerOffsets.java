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

/** The configuration offsets that the peers have reported, and the pull in progress. */
final class PeerOffsets {

    private static final long UNKNOWN_OFFSET = -1;
    private static final long PULL_TIMEOUT_MILLIS = 2_000;

    private final Map<ConfigurationPeer, Long> offsets = new LinkedHashMap<>();
    private final List<SectionState> receivedSections = new ArrayList<>();
    private @Nullable ConfigurationPeer pullSource;
    private long pullDeadlineMillis;

    void addPeer(ConfigurationPeer peer) {
        offsets.put(peer, UNKNOWN_OFFSET);
    }

    void removePeer(ConfigurationPeer peer) {
        offsets.remove(peer);
        if (peer == pullSource) {
            endPull();
        }
    }

    void recordOffset(ConfigurationPeer peer, long offset) {
        offsets.computeIfPresent(peer, (key, previous) -> offset);
    }

    List<ConfigurationPeer> laggingPeers(long offset) {
        return offsets.entrySet().stream()
                .filter(entry -> entry.getValue() < offset)
                .map(Map.Entry::getKey)
                .toList();
    }

    List<ConfigurationPeer> peersExcept(@Nullable ConfigurationPeer excluded) {
        return offsets.keySet().stream().filter(peer -> peer != excluded).toList();
    }

    int peerCount() {
        return offsets.size();
    }

    long knownOffsetCount() {
        return offsets.values().stream()
                .filter(offset -> offset != UNKNOWN_OFFSET)
                .count();
    }

    long highestOffset() {
        return offsets.values().stream().mapToLong(Long::longValue).max().orElse(UNKNOWN_OFFSET);
    }

    /**
     * Sends a pull to the peer with the highest offset, unless a pull is in progress or no peer has a higher offset.
     *
     * @return whether a pull was sent
     */
    boolean pullIfLagging(long offset, boolean whole, long nowMillis) {
        if (pullSource != null && nowMillis < pullDeadlineMillis) {
            return false;
        }
        ConfigurationPeer previousSource = pullSource;
        endPull();
        Optional<ConfigurationPeer> source = offsets.entrySet().stream()
                .filter(entry -> entry.getValue() > offset)
                // A peer that did not respond in time is asked again only if no other peer has its offset.
                .max(Map.Entry.<ConfigurationPeer, Long>comparingByValue()
                        .thenComparing(entry -> entry.getKey() == previousSource ? 0 : 1))
                .map(Map.Entry::getKey);
        if (source.isEmpty()) {
            return false;
        }
        pullSource = source.get();
        pullDeadlineMillis = nowMillis + PULL_TIMEOUT_MILLIS;
        source.get().send(new ConfigurationPull(offset, whole));
        return true;
    }

    /**
     * Collects the parts of the response to a pull.
     *
     * @return all sections of the response after its last part, empty before
     */
    Optional<List<SectionState>> collectPart(ConfigurationPeer peer, ConfigurationRecords part, long nowMillis) {
        if (peer != pullSource) {
            return Optional.empty();
        }
        receivedSections.addAll(part.sections());
        pullDeadlineMillis = nowMillis + PULL_TIMEOUT_MILLIS;
        if (!part.last()) {
            return Optional.empty();
        }
        List<SectionState> sections = List.copyOf(receivedSections);
        endPull();
        return Optional.of(sections);
    }

    private void endPull() {
        pullSource = null;
        receivedSections.clear();
    }
}
