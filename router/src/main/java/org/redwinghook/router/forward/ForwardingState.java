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
import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.EndpointTable;
import org.redwinghook.core.forward.ForwardingConfiguration;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.replica.EarlierRecord;
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
    private final List<LongConsumer> eraHandlers = new ArrayList<>();
    private final List<Consumer<RecordTopic>> completionHandlers = new ArrayList<>();
    private long era;
    private long previousEra;
    private long routersLostAtMillis;
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
            replicas.put(topic, new RecordReplica(record -> decoder.statementNumber(topic, record)));
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
     * Registers a listener for eras of the store.
     *
     * @param handler receives each new era, after all copies have begun it
     */
    public void onEra(LongConsumer handler) {
        eraHandlers.add(handler);
    }

    /**
     * Registers a listener for copies that are complete.
     *
     * @param handler receives the topic when the first snapshot of an era has been applied
     */
    void onComplete(Consumer<RecordTopic> handler) {
        completionHandlers.add(handler);
    }

    /**
     * Era of the store.
     *
     * @return the newest one that the store or another router named, 0 before the first
     */
    public long era() {
        return era;
    }

    /**
     * Begins an era of the store unless it is known: what is known so far holds until the records of the new era have been
     * read.
     *
     * @param newEra the era
     */
    public void beginEra(long newEra) {
        if (newEra <= era) {
            return;
        }
        LOGGER.info("store era begins era={} previous={}", newEra, era);
        previousEra = era;
        era = newEra;
        replicas.values().forEach(replica -> replica.beginEra(newEra));
        eraHandlers.forEach(handler -> handler.accept(newEra));
    }

    /**
     * Follows the log of a topic from its start, since it has begun anew without a new era.
     *
     * @param topic the topic
     */
    void restartLog(RecordTopic topic) {
        replica(topic).beginEra(era);
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
     * Applies records, which may repeat what the copy already has. Those of an earlier era are ignored.
     *
     * @param topic their topic
     * @param recordsEra era of their log
     * @param records the records
     * @param storeWasUnavailable whether entries may have lapsed only because the store was unavailable
     * @return the records that were new
     */
    public List<VersionedRecord> apply(
            RecordTopic topic, long recordsEra, Collection<VersionedRecord> records, boolean storeWasUnavailable) {
        beginEra(recordsEra);
        return handleChanges(topic, replica(topic).merge(recordsEra, records), storeWasUnavailable);
    }

    /**
     * Applies a snapshot. One of an earlier era is ignored.
     *
     * @param topic its topic
     * @param recordsEra era of its log
     * @param snapshot newest record of each key
     * @param endOffset offset after the last record that the snapshot covers
     * @param storeWasUnavailable whether entries may have lapsed only because the store was unavailable
     * @return the records that changed
     */
    public List<VersionedRecord> applySnapshot(
            RecordTopic topic,
            long recordsEra,
            Collection<VersionedRecord> snapshot,
            long endOffset,
            boolean storeWasUnavailable) {
        beginEra(recordsEra);
        RecordReplica replica = replica(topic);
        boolean isFirst = recordsEra == era && !replica.isComplete();
        List<VersionedRecord> changed = replica.mergeSnapshot(recordsEra, snapshot, endOffset);
        if (isFirst && replica.earlierEndOffset() > 0) {
            logBeginning(replica, topic, changed.size());
        }
        handleChanges(topic, changed, storeWasUnavailable);
        if (isFirst) {
            handleLost(topic);
            completionHandlers.forEach(handler -> handler.accept(topic));
        }
        return changed;
    }

    /**
     * Applies what another router knows from earlier eras and did not find in the log of its era.
     *
     * @param topic the topic
     * @param recordsEra era that the other router follows
     * @param records the records
     * @return the records that were new
     */
    List<VersionedRecord> applyEarlier(RecordTopic topic, long recordsEra, Collection<EarlierRecord> records) {
        beginEra(recordsEra);
        List<VersionedRecord> changed = handleChanges(topic, replica(topic).mergeEarlier(recordsEra, records), true);
        if (!changed.isEmpty()) {
            handleLost(topic);
        }
        return changed;
    }

    /**
     * Uses what another router knows of the origin of records. Those that are believed now are handled as changes.
     *
     * @param topic their topic
     * @param recordsEra era that the other router follows
     * @param writtenFrom offset from which all records were written in that era
     */
    void observeWrittenFrom(RecordTopic topic, long recordsEra, long writtenFrom) {
        beginEra(recordsEra);
        handleChanges(topic, replica(topic).observeWrittenFrom(recordsEra, writtenFrom), true);
    }

    private void logBeginning(RecordReplica replica, RecordTopic topic, int changed) {
        int lost = replica.lostRecords().size();
        LOGGER.info(
                "log began anew topic={} era={} previous={} endOffset={} previousEnd={} records={} changed={} kept={}"
                        + " lost={}",
                topic,
                era,
                previousEra,
                replica.nextOffset(),
                replica.earlierEndOffset(),
                replica.logRecords().size(),
                changed,
                replica.earlierRecords().size() - lost,
                lost);
    }

    /** Begins the time in which the writers of lost records write them again. Operators' records have no such limit. */
    private void handleLost(RecordTopic topic) {
        if (topic == RecordTopic.ENDPOINTS) {
            handleChanges(topic, replica(topic).dropLost(), true);
        }
        if (topic == RecordTopic.ROUTERS) {
            routersLostAtMillis = clock.millis();
        }
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

    /** Removes endpoints and routers whose entries lapsed or were lost, and were not written again in time. */
    public void removeLapsedEntries() {
        for (String id : endpoints.expire(clock.millis())) {
            LOGGER.info("endpoint removed id={} cause=lapsed", id);
        }
        if (clock.millis() - routersLostAtMillis >= EndpointTable.REREGISTRATION_GRACE_MILLIS) {
            handleChanges(RecordTopic.ROUTERS, replica(RecordTopic.ROUTERS).dropLost(), false);
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
                    "endpoint listed id={} service={} version={} address={} offset={}",
                    record.key(),
                    after.get().entry().service(),
                    after.get().entry().version(),
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
