package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.EndpointTable;
import org.redwinghook.core.forward.ForwardingConfiguration;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.replica.RecordReplica;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.VersionedRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * State derived from the platform's records, whether read from the store or relayed by other routers. Confined to one
 * event loop.
 */
public final class ForwardingState {

    private static final Logger LOGGER = LoggerFactory.getLogger(ForwardingState.class);

    private final RecordDecoder decoder;
    private final MonotonicClock clock;
    private final Map<RecordTopic, RecordReplica> replicas = new EnumMap<>(RecordTopic.class);
    private final EndpointTable endpoints = new EndpointTable();
    private final List<Consumer<KnownEndpoint>> leavingHandlers = new ArrayList<>();
    private final List<BiConsumer<RecordTopic, List<VersionedRecord>>> changeHandlers = new ArrayList<>();
    private final List<Consumer<OperatorRecord.Rollout>> rolloutHandlers = new ArrayList<>();
    private @Nullable ForwardingConfiguration configuration;

    /**
     * Creates an empty state.
     *
     * @param decoder decodes records
     * @param clock monotonic clock
     */
    public ForwardingState(RecordDecoder decoder, MonotonicClock clock) {
        this.decoder = decoder;
        this.clock = clock;
        for (RecordTopic topic : RecordTopic.values()) {
            replicas.put(topic, new RecordReplica());
        }
    }

    /**
     * Registers a listener for endpoints that leave.
     *
     * @param handler receives the endpoint, which may still run requests
     */
    public void onEndpointLeaving(Consumer<KnownEndpoint> handler) {
        leavingHandlers.add(handler);
    }

    /**
     * Registers a listener for changes.
     *
     * @param handler receives the topic and the new records
     */
    public void onChange(BiConsumer<RecordTopic, List<VersionedRecord>> handler) {
        changeHandlers.add(handler);
    }

    /**
     * Registers a listener for roll-outs.
     *
     * @param handler receives each new order and each removal of one
     */
    public void onRollout(Consumer<OperatorRecord.Rollout> handler) {
        rolloutHandlers.add(handler);
    }

    /**
     * Configuration in force.
     *
     * @return the configuration, empty if none is known yet
     */
    public Optional<ForwardingConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /**
     * Known endpoints.
     *
     * @return the table
     */
    public EndpointTable endpoints() {
        return endpoints;
    }

    /**
     * Local copy of a topic.
     *
     * @param topic the topic
     * @return the copy
     */
    public RecordReplica replica(RecordTopic topic) {
        return replicas.get(topic);
    }

    /**
     * Whether requests can be served: the configuration and the list of endpoints are known.
     *
     * @return false until then
     */
    public boolean isComplete() {
        return configuration != null && endpoints.size() > 0;
    }

    /**
     * Applies records, which may repeat what the copy already has.
     *
     * @param topic their topic
     * @param records the records
     * @param storeWasUnavailable whether entries may have lapsed only because the store was unavailable
     * @return the records that were new
     */
    public List<VersionedRecord> apply(
            RecordTopic topic, Collection<VersionedRecord> records, boolean storeWasUnavailable) {
        return handleChanges(topic, replica(topic).merge(records), storeWasUnavailable);
    }

    /**
     * Applies a snapshot.
     *
     * @param topic its topic
     * @param snapshot newest record of each key
     * @param endOffset offset after the last record that the snapshot covers
     * @param storeWasUnavailable whether entries may have lapsed only because the store was unavailable
     * @return the records that changed
     */
    public List<VersionedRecord> applySnapshot(
            RecordTopic topic, Collection<VersionedRecord> snapshot, long endOffset, boolean storeWasUnavailable) {
        return handleChanges(topic, replica(topic).mergeSnapshot(snapshot, endOffset), storeWasUnavailable);
    }

    /**
     * Records that an endpoint leaves according to its own report.
     *
     * @param endpoint the endpoint
     * @param endMillis monotonic time of its end in milliseconds, {@link Long#MAX_VALUE} if it is not known
     */
    void recordLeaveNotice(KnownEndpoint endpoint, long endMillis) {
        boolean wasLeaving = endpoint.isDeparting();
        endpoint.recordLeaveNotice(endMillis);
        handleDeparture(endpoint, wasLeaving, "report");
    }

    /**
     * Records that an endpoint leaves according to one of its responses.
     *
     * @param endpoint the endpoint
     */
    void announceLeaving(KnownEndpoint endpoint) {
        boolean wasLeaving = endpoint.isDeparting();
        endpoint.recordLeavingAnnouncement();
        handleDeparture(endpoint, wasLeaving, "response");
    }

    private void handleDeparture(KnownEndpoint endpoint, boolean wasLeaving, String source) {
        if (!wasLeaving) {
            LOGGER.info(
                    "endpoint leaving id={} listed=true source={}",
                    endpoint.entry().id(),
                    source);
            leavingHandlers.forEach(handler -> handler.accept(endpoint));
        }
    }

    /** Removes endpoints whose entries lapsed and were not registered again in time. */
    public void removeExpiredEndpoints() {
        for (String id : endpoints.expire(clock.millis())) {
            LOGGER.info("endpoint removed id={} cause=lapsed", id);
        }
    }

    private List<VersionedRecord> handleChanges(
            RecordTopic topic, List<VersionedRecord> changed, boolean storeWasUnavailable) {
        for (VersionedRecord record : changed) {
            if (topic == RecordTopic.OPERATORS) {
                decode(topic, record, decoder::decodeOperatorRecord).ifPresent(this::applyOperatorRecord);
            }
            if (topic == RecordTopic.ENDPOINTS) {
                applyEndpointRecord(record, storeWasUnavailable);
            }
        }
        if (!changed.isEmpty()) {
            changeHandlers.forEach(handler -> handler.accept(topic, changed));
        }
        return changed;
    }

    /** Decodes a record. An error concerns only this record: the replica has merged the others, so none is read again. */
    private static <T> Optional<T> decode(
            RecordTopic topic, VersionedRecord record, Function<VersionedRecord, Optional<T>> decoding) {
        try {
            return decoding.apply(record);
        } catch (RuntimeException exception) {
            LOGGER.error(
                    "record not decoded topic={} key={} offset={}", topic, record.key(), record.offset(), exception);
            return Optional.empty();
        }
    }

    private void applyOperatorRecord(OperatorRecord record) {
        if (record instanceof OperatorRecord.Configuration newest) {
            applyConfiguration(newest.configuration());
        }
        if (record instanceof OperatorRecord.Rollout rollout) {
            rolloutHandlers.forEach(handler -> handler.accept(rollout));
        }
        if (record instanceof OperatorRecord.Withdrawal withdrawal
                && endpoints.setWithdrawn(withdrawal.dataCentre(), withdrawal.withdrawn())) {
            LOGGER.info("data centre withdrawn={} name={}", withdrawal.withdrawn(), withdrawal.dataCentre());
        }
    }

    private void applyConfiguration(ForwardingConfiguration newest) {
        ForwardingConfiguration current = configuration;
        if (current != null && current.version() >= newest.version()) {
            return;
        }
        configuration = newest;
        LOGGER.info(
                "configuration in force version={} previous={}",
                newest.version(),
                current == null ? 0 : current.version());
    }

    private void applyEndpointRecord(VersionedRecord record, boolean storeWasUnavailable) {
        long now = clock.millis();
        Optional<KnownEndpoint> before = endpoints.find(record.key());
        boolean wasLeaving = before.map(KnownEndpoint::isDeparting).orElse(false);
        Optional<EndpointEntry> entry = decode(RecordTopic.ENDPOINTS, record, decoder::decodeEndpoint);
        if (entry.isPresent()) {
            endpoints.put(entry.get(), now);
        } else {
            endpoints.remove(record.key(), storeWasUnavailable, now);
        }
        boolean wasServing = before.isPresent() && !wasLeaving;
        Optional<KnownEndpoint> after = endpoints.find(record.key());
        if (before.isEmpty() && after.isPresent()) {
            LOGGER.info(
                    "endpoint listed id={} service={} address={} offset={}",
                    record.key(),
                    after.get().entry().service(),
                    after.get().entry().address(),
                    record.offset());
        }
        boolean isLeaving =
                after.isEmpty() || entry.map(EndpointEntry::draining).orElse(false);
        if (wasServing && isLeaving) {
            LOGGER.info("endpoint leaving id={} listed={} offset={}", record.key(), after.isPresent(), record.offset());
            leavingHandlers.forEach(handler -> handler.accept(before.get()));
        }
    }
}
