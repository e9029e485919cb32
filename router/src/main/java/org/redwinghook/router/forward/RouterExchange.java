package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.EndpointWork;
import org.redwinghook.core.message.KeyedRecord;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.RelayedRecords;
import org.redwinghook.core.message.WorkReport;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.placement.WorkTotals;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.ReplicaRepairPolicy;
import org.redwinghook.core.replica.StoreReaders;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.router.peer.MeshShape;
import org.redwinghook.runtime.config.ConfigurationPeer;
import org.redwinghook.runtime.config.PeerListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What routers tell each other: records of the platform's store, for routers that cannot reach it, and their running
 * work, so that they do not all choose the same endpoint.
 */
final class RouterExchange implements PeerListener {

    /** Interval of work reports while work changes, in milliseconds; several fit into a prompt's reading. */
    private static final long REPORT_MILLIS = 100;

    /** Interval of work reports that repeat the one before, in milliseconds; half of the age at which they expire. */
    private static final long REPEAT_MILLIS = WorkLedger.MAXIMUM_PEER_TOTALS_AGE_MILLIS / 2;

    /**
     * Least time between two messages with operators' records, in milliseconds: 26 copies of a configuration of 10 kB
     * take half of a link of 10 Mbit/s for it.
     */
    private static final long OPERATORS_MILLIS = 400;

    private static final Logger LOGGER = LoggerFactory.getLogger(RouterExchange.class);

    private final Vertx vertx;
    private final String self;
    private final ForwardingState state;
    private final WorkLedger ledger;
    private final MonotonicClock clock;
    private final Set<ConfigurationPeer> peers = new LinkedHashSet<>();
    private final Map<String, Boolean> storeReaders = new HashMap<>();
    private final Map<RecordTopic, ReplicaRepairPolicy> spreads = new EnumMap<>(RecordTopic.class);
    private final Map<String, VersionedRecord> pendingOperators = new LinkedHashMap<>();
    private final Map<String, WorkTotals> lastReport = new HashMap<>();
    private boolean lastReadsStore = true;
    private BooleanSupplier readsStore = () -> true;
    private BooleanSupplier storeWasAway = () -> false;
    private boolean allConnected = true;
    private boolean operatorsScheduled;
    private long operatorsSentMillis = Long.MIN_VALUE / 2;
    private long reportedMillis;

    RouterExchange(Vertx vertx, String self, ForwardingState state, WorkLedger ledger, MonotonicClock clock) {
        this.vertx = vertx;
        this.self = self;
        this.state = state;
        this.ledger = ledger;
        this.clock = clock;
        for (RecordTopic topic : RecordTopic.values()) {
            spreads.put(topic, new ReplicaRepairPolicy());
        }
    }

    /**
     * Sets what tells whether this router can read the store.
     *
     * @param supplier tells it
     */
    void onReadsStore(BooleanSupplier supplier) {
        readsStore = supplier;
    }

    /**
     * Sets what tells whether the store was away a short time ago.
     *
     * @param supplier tells it
     */
    void onStoreWasAway(BooleanSupplier supplier) {
        storeWasAway = supplier;
    }

    /**
     * Whether this router waits at the store for new records.
     *
     * @return false if others do and pass them on
     */
    boolean waitsAtStore() {
        return StoreReaders.isReader(self, storeReaders);
    }

    void start() {
        vertx.setPeriodic(REPORT_MILLIS, ignored -> report());
    }

    /**
     * Passes records that were read from the store on to the connected routers.
     *
     * @param topic their topic
     * @param records the records
     * @param mayHaveLapsed whether removals may come only from an outage of the store
     */
    void relay(RecordTopic topic, List<VersionedRecord> records, boolean mayHaveLapsed) {
        if (records.isEmpty()) {
            return;
        }
        if (topic != RecordTopic.OPERATORS) {
            send(null, message(topic, newest(records).values(), mayHaveLapsed));
            return;
        }
        if (StoreReaders.isFirstReader(self, storeReaders)) {
            pendingOperators.putAll(newest(records));
            sendOperators();
        }
    }

    /** Sends what operators wrote; of a series of changes only the newest, as each is large. */
    private void sendOperators() {
        if (operatorsScheduled || pendingOperators.isEmpty()) {
            return;
        }
        long waitMillis = operatorsSentMillis + OPERATORS_MILLIS - clock.millis();
        if (waitMillis > 0) {
            operatorsScheduled = true;
            vertx.setTimer(waitMillis, ignored -> {
                operatorsScheduled = false;
                sendOperators();
            });
            return;
        }
        operatorsSentMillis = clock.millis();
        send(null, message(RecordTopic.OPERATORS, pendingOperators.values(), false));
        pendingOperators.clear();
    }

    private static Map<String, VersionedRecord> newest(List<VersionedRecord> records) {
        Map<String, VersionedRecord> newest = new LinkedHashMap<>();
        records.forEach(record -> newest.put(record.key(), record));
        return newest;
    }

    /**
     * Names of the connected routers.
     *
     * @return the names, this router's not among them
     */
    Set<String> connected() {
        Set<String> names = new LinkedHashSet<>();
        peers.forEach(peer -> names.add(peer.name()));
        return names;
    }

    @Override
    public void opened(ConfigurationPeer peer) {
        peers.add(peer);
        LOGGER.info("router connected name={} connections={}", peer.name(), peers.size());
        for (RecordTopic topic : RecordTopic.values()) {
            List<VersionedRecord> all = state.replica(topic).allRecords();
            if (!all.isEmpty()) {
                peer.send(message(topic, all, storeWasAway.getAsBoolean()));
            }
        }
        Map<String, WorkTotals> own = ledger.ownWork();
        peer.send(new WorkReport(self, entries(own), true, readsStore.getAsBoolean(), noteKnowledge()));
    }

    @Override
    public void closed(ConfigurationPeer peer) {
        peers.remove(peer);
        if (!connected().contains(peer.name())) {
            storeReaders.remove(peer.name());
            spreads.values().forEach(spread -> spread.removePeer(peer.name()));
        }
        LOGGER.info("router disconnected name={} connections={}", peer.name(), peers.size());
    }

    @Override
    public void received(ConfigurationPeer peer, Message message) {
        if (message instanceof WorkReport report) {
            Map<String, WorkTotals> totals = new HashMap<>();
            for (EndpointWork work : report.work()) {
                totals.put(
                        work.endpoint(),
                        new WorkTotals(work.running(), work.waitingTokens(), work.residentTokens(), work.heldTokens()));
            }
            ledger.updatePeer(report.router(), totals, report.whole(), clock.millis());
            storeReaders.put(report.router(), report.readsStore());
            repair(peer, report);
        }
        if (message instanceof RelayedRecords relayed) {
            relayed(peer, relayed);
        }
    }

    @Override
    public void membersChanged(int liveRouters, int reachable) {
        allConnected = liveRouters <= MeshShape.MOST_CONNECTED;
        LOGGER.debug("routers listed={} reachable={}", liveRouters, reachable);
    }

    /** Sends a router what it lacks. */
    private void repair(ConfigurationPeer peer, WorkReport report) {
        noteKnowledge();
        for (RecordTopic topic : RecordTopic.values()) {
            boolean told = topic.ordinal() < report.known().size();
            if (told
                    && spreads.get(topic)
                            .shouldRepair(self, peer.name(), report.known().get(topic.ordinal()), clock.millis())) {
                LOGGER.info("records repaired topic={} to={}", topic, peer.name());
                peer.send(message(topic, state.replica(topic).allRecords(), storeWasAway.getAsBoolean()));
            }
        }
    }

    /** Notes how much this router knows of each topic, and returns it. */
    private List<Long> noteKnowledge() {
        List<Long> known = new ArrayList<>();
        for (RecordTopic topic : RecordTopic.values()) {
            long knowledge = state.replica(topic).offsetSum();
            spreads.get(topic).recordOwnOffsetSum(knowledge, clock.millis());
            known.add(knowledge);
        }
        return known;
    }

    private void relayed(ConfigurationPeer peer, RelayedRecords relayed) {
        RecordTopic topic = RecordTopic.valueOf(relayed.topic());
        List<VersionedRecord> records = new ArrayList<>();
        for (KeyedRecord record : relayed.records()) {
            records.add(new VersionedRecord(record.key(), record.offset(), record.value()));
        }
        List<VersionedRecord> changed = state.apply(topic, records, relayed.mayHaveLapsed());
        if (!allConnected && !changed.isEmpty()) {
            // A router of a large deployment is connected to few others, so what it hears goes on from one to the next.
            send(peer, message(topic, changed, relayed.mayHaveLapsed()));
        }
        if (topic != RecordTopic.ENDPOINTS && !changed.isEmpty()) {
            LOGGER.info("records relayed topic={} from={} changed={}", topic, peer.name(), changed.size());
        }
    }

    /** Reports what has changed of the work. */
    void report() {
        Map<String, WorkTotals> changed = changes(ledger.ownWork());
        long now = clock.millis();
        boolean reads = readsStore.getAsBoolean();
        if (changed.isEmpty() && reads == lastReadsStore && now - reportedMillis < REPEAT_MILLIS) {
            return;
        }
        lastReport.putAll(changed);
        lastReport.values().removeIf(WorkTotals.NONE::equals);
        lastReadsStore = reads;
        reportedMillis = now;
        send(null, new WorkReport(self, entries(changed), false, reads, noteKnowledge()));
    }

    private Map<String, WorkTotals> changes(Map<String, WorkTotals> own) {
        Map<String, WorkTotals> changed = new HashMap<>();
        own.forEach((endpoint, work) -> {
            if (work.differsSignificantlyFrom(lastReport.getOrDefault(endpoint, WorkTotals.NONE))) {
                changed.put(endpoint, work);
            }
        });
        for (String endpoint : lastReport.keySet()) {
            if (!own.containsKey(endpoint)) {
                changed.put(endpoint, WorkTotals.NONE);
            }
        }
        return changed;
    }

    private static List<EndpointWork> entries(Map<String, WorkTotals> totals) {
        List<EndpointWork> work = new ArrayList<>();
        totals.forEach((endpoint, total) -> work.add(new EndpointWork(
                endpoint, total.running(), total.waitingTokens(), total.residentTokens(), total.heldTokens())));
        return work;
    }

    private void send(@Nullable ConfigurationPeer except, Message message) {
        Set<String> reached = new LinkedHashSet<>();
        for (ConfigurationPeer peer : List.copyOf(peers)) {
            if (peer != except && reached.add(peer.name())) {
                peer.send(message);
            }
        }
    }

    private static RelayedRecords message(
            RecordTopic topic, Collection<VersionedRecord> records, boolean mayHaveLapsed) {
        List<KeyedRecord> keyed = new ArrayList<>();
        records.forEach(record -> keyed.add(new KeyedRecord(record.key(), record.offset(), record.value())));
        return new RelayedRecords(topic.name(), keyed, mayHaveLapsed);
    }
}
