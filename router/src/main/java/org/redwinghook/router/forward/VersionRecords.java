package org.redwinghook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.EndpointTable;
import org.redwinghook.core.forward.ForwardingConfiguration;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.origin.PossibleVersions;
import org.redwinghook.core.origin.ServiceVersion;
import org.redwinghook.core.origin.StreamLifetimes;
import org.redwinghook.core.replica.RecordReplica;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.core.routing.RendezvousHash;
import org.redwinghook.runtime.json.UntrustedJson;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records in the store of the software versions that may have begun streams, so that routers that have all started again
 * know the versions whose endpoints have left meanwhile. The first reader of the store writes them. Confined to one event
 * loop.
 */
final class VersionRecords {

    /** Prefix of the records' keys among those of the routers. */
    private static final String KEY_PREFIX = "version/";

    /** Interval at which the records are compared with the listed endpoints, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 250;

    /** Time after the start until this router writes records, in milliseconds; the routers connect in it. */
    private static final long FIRST_WRITE_MILLIS = 1_000;

    /** Time within which this router reads a record that it has written, in milliseconds. */
    private static final long READ_BACK_MILLIS = 2_000;

    /** Field of a record that names the era of the store; one of an earlier era is written again once the list is complete. */
    private static final String ERA_FIELD = "era";

    private static final int MAXIMUM_KEY_BYTES = 255;
    private static final int HEXADECIMAL = 16;

    private static final Logger LOGGER = LoggerFactory.getLogger(VersionRecords.class);

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final RecordStore store;
    private final ForwardingState state;
    private final PossibleVersions versions = new PossibleVersions();
    private final BooleanSupplier isListCurrent;
    private final ListConfirmation confirmation;
    private final BooleanSupplier isWriter;
    private final List<Runnable> checkHandlers = new ArrayList<>();
    private final Map<ServiceVersion, Long> writtenAtMillis = new HashMap<>();
    private final Map<ServiceVersion, Long> recordedEras = new HashMap<>();
    private long observedEra = -1;
    private long observedAtMillis;
    private StreamLifetimes lifetimes = new StreamLifetimes(List.of());
    private long firstWriteMillis = Long.MAX_VALUE;
    private boolean isWriting;

    /**
     * Creates the records.
     *
     * @param vertx timers
     * @param clock monotonic clock
     * @param store the store
     * @param state records and endpoints known to this router
     * @param isListCurrent whether the list of endpoints is up to date
     * @param confirmation confirms that no version is listed again before its record is removed
     * @param isWriter whether this router writes the records now
     */
    VersionRecords(
            Vertx vertx,
            MonotonicClock clock,
            RecordStore store,
            ForwardingState state,
            BooleanSupplier isListCurrent,
            ListConfirmation confirmation,
            BooleanSupplier isWriter) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.state = state;
        this.isListCurrent = isListCurrent;
        this.confirmation = confirmation;
        this.isWriter = isWriter;
        state.onChange(this::handleChange);
        state.onEra(ignored -> writtenAtMillis.clear());
        state.onComplete(topic -> {
            if (topic == RecordTopic.ROUTERS) {
                updateRecorded();
            }
        });
    }

    /**
     * Whether a record of the routers' topic is one of a version.
     *
     * @param record the record
     * @return false for the entry of a router
     */
    static boolean isVersionRecord(VersionedRecord record) {
        return record.key().startsWith(KEY_PREFIX);
    }

    /**
     * Registers a part of the router that follows the possible versions.
     *
     * @param handler called several times a second, and when a version has appeared
     */
    void onCheck(Runnable handler) {
        checkHandlers.add(handler);
    }

    /**
     * Versions that may have begun streams.
     *
     * @param service name of the service
     * @return the versions that are known
     */
    Set<String> versions(String service) {
        return versions.of(service);
    }

    /**
     * Reads the versions anew from the store, since some may have been listed while this router was out of step.
     *
     * @param service name of the service
     * @return whether {@link #versions} has all versions that were listed before this call; fails if the store did not answer
     */
    Future<Boolean> confirm(String service) {
        return confirmation.confirm().map(ignored -> isEraComplete(service));
    }

    /**
     * Whether the log of the store's era can have all versions of a service. A store that came back from a copy lacks those that
     * appeared since, until their endpoints have written their entries again; a router that was out of step in those seconds
     * has not seen them in the era before either.
     *
     * @param service name of the service
     * @return false while this router may know only a copy of the list
     */
    private boolean isEraComplete(String service) {
        if (isEraObserved(clock.millis()) || isRecorded(service, state.era())) {
            return true;
        }
        return !hasFollowedEarlierEra() && !isRecorded(service, Long.MIN_VALUE);
    }

    /** Whether this router has followed the log of an earlier era. */
    private boolean hasFollowedEarlierEra() {
        return state.replica(RecordTopic.ENDPOINTS).earlierEndOffset() > 0;
    }

    /** Whether this router has followed the store's era for the time in which endpoints write their entries again. */
    private boolean isEraObserved(long now) {
        return observedEra == state.era() && now - observedAtMillis >= EndpointTable.REREGISTRATION_GRACE_MILLIS;
    }

    /** Whether a version of a service has a record that was written in an era or later. */
    private boolean isRecorded(String service, long firstEra) {
        for (Map.Entry<ServiceVersion, Long> recorded : recordedEras.entrySet()) {
            if (recorded.getKey().service().equals(service) && recorded.getValue() >= firstEra) {
                return true;
            }
        }
        return false;
    }

    void start() {
        vertx.setPeriodic(CHECK_INTERVAL_MILLIS, ignored -> check());
    }

    /** Begins to write records, once the routers have had the time to connect. */
    void startWriting() {
        firstWriteMillis = clock.millis() + FIRST_WRITE_MILLIS;
    }

    /**
     * Lifetimes of streams by the configuration in force.
     *
     * @return the lifetimes
     */
    StreamLifetimes lifetimes() {
        return lifetimes;
    }

    private void handleChange(RecordTopic topic, List<VersionedRecord> changed) {
        switch (topic) {
            case OPERATORS -> updateLifetimes();
            case ROUTERS -> updateRecorded();
            case ENDPOINTS -> addListed(changed);
            default -> throw new IllegalStateException("unknown topic " + topic);
        }
    }

    private void updateLifetimes() {
        lifetimes = new StreamLifetimes(
                state.configuration().map(ForwardingConfiguration::routes).orElse(List.of()));
        checkHandlers.forEach(Runnable::run);
    }

    /** Adds the versions of changed entries at once; requests that follow may be resumed ones. */
    private void addListed(List<VersionedRecord> changed) {
        boolean isAdded = false;
        for (VersionedRecord record : changed) {
            KnownEndpoint endpoint = state.endpoints().find(record.key()).orElse(null);
            isAdded |= endpoint != null && versions.addListed(toVersion(endpoint.entry()), clock.millis());
        }
        if (isAdded) {
            checkHandlers.forEach(Runnable::run);
        }
    }

    private void updateRecorded() {
        RecordReplica replica = state.replica(RecordTopic.ROUTERS);
        // A store that came back from a copy needs the records that it lost before all routers lose power.
        Set<String> lost = new HashSet<>();
        replica.lostRecords().forEach(record -> lost.add(record.key()));
        recordedEras.clear();
        for (VersionedRecord record : replica.allRecords()) {
            byte[] value = record.value();
            if (value != null && isVersionRecord(record) && !lost.contains(record.key())) {
                addRecorded(record, value);
            }
        }
        versions.updateRecorded(recordedEras.keySet(), clock.millis());
    }

    private void addRecorded(VersionedRecord record, byte[] value) {
        try {
            JsonObject fields = UntrustedJson.parseObject(Buffer.buffer(value));
            String service = fields.getString("service");
            String version = fields.getString("version");
            if (service != null && version != null) {
                recordedEras.put(new ServiceVersion(service, version), fields.getLong(ERA_FIELD, 0L));
                return;
            }
            LOGGER.warn("version record unreadable key={} offset={}", record.key(), record.offset());
        } catch (DecodeException | ClassCastException exception) {
            LOGGER.warn(
                    "version record unreadable key={} offset={} cause={}",
                    record.key(),
                    record.offset(),
                    exception.toString());
        }
    }

    private void check() {
        long now = clock.millis();
        Set<ServiceVersion> listed = new LinkedHashSet<>();
        for (EndpointEntry entry : state.endpoints().entries()) {
            listed.add(toVersion(entry));
        }
        versions.updateListed(listed, now);
        boolean isCurrent = isListCurrent.getAsBoolean();
        if (isCurrent
                && observedEra != state.era()
                && state.replica(RecordTopic.ENDPOINTS).isComplete()) {
            observedEra = state.era();
            observedAtMillis = now;
        }
        if (!isCurrent) {
            versions.renew(now);
        }
        versions.expire(lifetimes, now);
        checkHandlers.forEach(Runnable::run);
        if (isCurrent && now >= firstWriteMillis && !isWriting && isWriter.getAsBoolean()) {
            writeNext(now);
        }
    }

    private void writeNext(long now) {
        writtenAtMillis.values().removeIf(millis -> now - millis >= READ_BACK_MILLIS);
        for (ServiceVersion missing : versions.withoutRecord(lifetimes)) {
            if (!writtenAtMillis.containsKey(missing)) {
                write(missing, "written", encode(missing));
                return;
            }
        }
        for (ServiceVersion outlived : versions.withOutlivedRecord(lifetimes, now)) {
            if (!writtenAtMillis.containsKey(outlived)) {
                removeIfOutlived(outlived);
                return;
            }
        }
        for (Map.Entry<ServiceVersion, Long> recorded : recordedEras.entrySet()) {
            ServiceVersion version = recorded.getKey();
            if (isEraObserved(now)
                    && recorded.getValue() < state.era()
                    && lifetimes.services().contains(version.service())
                    && !writtenAtMillis.containsKey(version)) {
                write(version, "written", encode(version));
                return;
            }
        }
    }

    /** Removes a record unless endpoints of the version were listed while this router was out of step. */
    private void removeIfOutlived(ServiceVersion version) {
        isWriting = true;
        confirmation.confirm().onComplete(read -> {
            isWriting = false;
            if (read.succeeded()
                    && versions.withOutlivedRecord(lifetimes, clock.millis()).contains(version)) {
                write(version, "removed", new byte[0]);
            }
        });
    }

    private byte[] encode(ServiceVersion version) {
        return new JsonObject()
                .put("service", version.service())
                .put("version", version.version())
                .put(ERA_FIELD, state.era())
                .toBuffer()
                .getBytes();
    }

    private void write(ServiceVersion version, String change, byte[] value) {
        isWriting = true;
        writtenAtMillis.put(version, clock.millis());
        store.write(RecordTopic.ROUTERS, key(version), value)
                .onSuccess(ignored -> LOGGER.info(
                        "version record {} service={} version={}", change, version.service(), version.version()))
                .onFailure(failure -> LOGGER.warn(
                        "version record not {} service={} version={} cause={}",
                        change,
                        version.service(),
                        version.version(),
                        failure.toString()))
                .onComplete(ignored -> isWriting = false);
    }

    private static String key(ServiceVersion version) {
        String key = KEY_PREFIX + version.service() + "/" + version.version();
        return key.getBytes(StandardCharsets.UTF_8).length <= MAXIMUM_KEY_BYTES
                ? key
                : KEY_PREFIX + Long.toUnsignedString(RendezvousHash.hash(key), HEXADECIMAL);
    }

    private static ServiceVersion toVersion(EndpointEntry entry) {
        return new ServiceVersion(entry.service(), entry.version());
    }
}
