package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.replica.OwnRecord;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.router.peer.RouterMesh;
import org.redwinghook.runtime.json.UntrustedJson;
import org.redwinghook.runtime.settings.Address;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this router and keeps the list of all routers. Each router writes its address into the store when it starts
 * and removes it when it stops; the others read it from the store or receive it from each other. A record that the store
 * lost is written again.
 */
final class RouterMembership {

    /** Pause before a failed registration is retried, in milliseconds. */
    private static final long REGISTRATION_RETRY_MILLIS = 500;

    private static final Logger LOGGER = LoggerFactory.getLogger(RouterMembership.class);

    private final Vertx vertx;
    private final RecordStore store;
    private final ForwardingState state;
    private final ForwardingSettings settings;
    private final RouterMesh mesh;
    private final OwnRecord ownRecord = new OwnRecord();
    private long logs;
    private int writes;
    private boolean wasWritten;
    private boolean isLeaving;
    private int size = 1;
    private boolean hasOthers;

    RouterMembership(
            Vertx vertx, RecordStore store, ForwardingState state, ForwardingSettings settings, RouterMesh mesh) {
        this.vertx = vertx;
        this.store = store;
        this.state = state;
        this.settings = settings;
        this.mesh = mesh;
        state.onComplete(this::handleLog);
    }

    void register() {
        if (isLeaving) {
            return;
        }
        JsonObject entry = new JsonObject()
                .put("host", settings.peer().host())
                .put("port", settings.peer().port())
                .put("dataCentre", settings.dataCentre());
        ownRecord.set(entry.toBuffer().getBytes());
        write();
    }

    /** Removes this router's entry. If that fails, the other routers detect that it is unreachable. */
    void leave() {
        isLeaving = true;
        ownRecord.set(new byte[0]);
        write();
    }

    private void write() {
        boolean isRemoval = isLeaving;
        long logAtStart = logs;
        writes++;
        wasWritten = true;
        store.write(RecordTopic.ROUTERS, settings.process(), ownRecord.value())
                .onSuccess(ignored -> {
                    writes--;
                    LOGGER.info("router {} name={}", isRemoval ? "removed" : "registered", settings.process());
                    if (logs != logAtStart) {
                        // The store may have acknowledged the write before it came back from a copy.
                        scheduleCheck();
                    }
                })
                .onFailure(failure -> {
                    writes--;
                    handleFailure(isRemoval, failure);
                });
    }

    private void handleFailure(boolean isRemoval, Throwable failure) {
        if (isRemoval) {
            LOGGER.warn("router not removed cause={}", failure.toString());
            return;
        }
        vertx.setTimer(REGISTRATION_RETRY_MILLIS, ignored -> {
            if (!isLeaving) {
                write();
            }
        });
    }

    /** Checks a log of routers that begins, also anew since the store came back from a copy, for this router's record. */
    private void handleLog(RecordTopic topic) {
        if (topic == RecordTopic.ROUTERS && wasWritten) {
            logs++;
            scheduleCheck();
        }
    }

    private void scheduleCheck() {
        long delayMillis =
                ownRecord.checkDelayMillis(ThreadLocalRandom.current().nextDouble());
        vertx.setTimer(Math.max(1, delayMillis), ignored -> {
            if (writes == 0 && ownRecord.isLost(findOwnRecord())) {
                LOGGER.info("router record lost name={} era={}", settings.process(), state.era());
                write();
            }
        });
    }

    private @Nullable VersionedRecord findOwnRecord() {
        for (VersionedRecord record : state.replica(RecordTopic.ROUTERS).logRecords()) {
            if (record.key().equals(settings.process())) {
                return record;
            }
        }
        return null;
    }

    /** Updates the list of routers from the newest records. */
    void update() {
        List<Member> members = new ArrayList<>();
        for (VersionedRecord record : state.replica(RecordTopic.ROUTERS).allRecords()) {
            if (record.value() != null && !VersionRecords.isVersionRecord(record)) {
                addMember(record, members);
            }
        }
        size = Math.max(1, members.size());
        hasOthers = members.stream().anyMatch(member -> !member.vm().equals(settings.process()));
        mesh.update(members);
    }

    /**
     * Number of routers.
     *
     * @return the number of registered routers, at least 1
     */
    int size() {
        return size;
    }

    /**
     * Whether another router is registered, which a router is until it begins to stop.
     *
     * @return false if this router is the only one, or all others stop
     */
    boolean hasOthers() {
        return hasOthers;
    }

    private static void addMember(VersionedRecord record, List<Member> members) {
        try {
            JsonObject entry = UntrustedJson.parseObject(Buffer.buffer(record.value()));
            Address address = Address.parse(
                            Objects.requireNonNull(entry.getString("host")) + ":" + entry.getValue("port"))
                    .filter(Address::isConnectable)
                    .orElseThrow(() -> new IllegalArgumentException("the address cannot be used"));
            members.add(new Member(
                    record.key(),
                    entry.getString("dataCentre"),
                    ProcessRole.ROUTER,
                    address.host(),
                    address.port(),
                    0,
                    null,
                    false));
        } catch (DecodeException | ClassCastException | IllegalArgumentException | NullPointerException exception) {
            LOGGER.warn("router entry unreadable key={} cause={}", record.key(), exception.toString());
        }
    }
}
