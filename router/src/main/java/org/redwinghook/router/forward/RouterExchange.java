package org.redwinghook.router.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.EndpointWork;
import org.redwinghook.core.message.KeyedRecord;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.QuarantineReport;
import org.redwinghook.core.message.RelayedRecords;
import org.redwinghook.core.message.WorkReport;
import org.redwinghook.core.placement.ReportInterval;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.placement.WorkTotals;
import org.redwinghook.core.quarantine.MergedEvidence;
import org.redwinghook.core.quarantine.QuarantineEvidence;
import org.redwinghook.core.replica.EarlierRecord;
import org.redwinghook.core.replica.RecordReplica;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.RepairBudget;
import org.redwinghook.core.replica.ReplicaRepairPolicy;
import org.redwinghook.core.replica.StoreReaders;
import org.redwinghook.core.replica.StoreRole;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.router.peer.MeshTopology;
import org.redwinghook.runtime.config.ConfigurationPeer;
import org.redwinghook.runtime.config.PeerListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges state with the other routers: records of the platform's store, for routers that cannot reach it, and the
 * running work, so that routers do not all choose the same endpoint.
 */
final class RouterExchange implements PeerListener {

    /** Interval of checks whether a work report is due, in milliseconds. */
    private static final long REPORT_CHECK_INTERVAL_MILLIS = 100;

    /** Interval of unchanged work reports, in milliseconds; half of the age at which reports expire. */
    private static final long UNCHANGED_REPORT_INTERVAL_MILLIS = WorkLedger.MAXIMUM_PEER_TOTALS_AGE_MILLIS / 2;

    /**
     * Minimum time between two messages with operators' records, in milliseconds. At this interval, 26 copies of a
     * configuration of 10 kB use half of a 10 Mbit/s link.
     */
    private static final long OPERATOR_RECORDS_INTERVAL_MILLIS = 400;

    /** Bytes of repairs that may be sent at once: complete records for a few routers that have just started. */
    private static final long REPAIR_BURST_BYTES = 256 * 1024;

    /**
     * Bytes of records of earlier eras that may be sent at once: those of 600 endpoints to 60 routers, or of 21,000
     * endpoints to one.
     */
    private static final long EARLIER_RECORDS_BURST_BYTES = 8 * 1024 * 1024;

    /** Bytes of records after which a message with records of earlier eras ends. A receiver accepts 4 MiB. */
    private static final long MAXIMUM_PART_BYTES = 256 * 1024;

    /** Interval at which outdated evidence about prompt parts is forgotten, in milliseconds. */
    private static final long QUARANTINE_EXPIRY_INTERVAL_MILLIS = 10_000;

    /**
     * Time for which evidence about prompt parts is collected into one message, in milliseconds. The requests at a crashed
     * endpoint fail within it.
     */
    private static final long EVIDENCE_DELAY_MILLIS = 5;

    private static final Logger LOGGER = LoggerFactory.getLogger(RouterExchange.class);

    private final Vertx vertx;
    private final String self;
    private final ForwardingState state;
    private final WorkLedger ledger;
    private final MonotonicClock clock;
    private final PromptGuard promptGuard;
    private final Set<ConfigurationPeer> peers = new LinkedHashSet<>();
    private final Map<String, Boolean> storeAccessByRouter = new HashMap<>();
    private final Map<RecordTopic, ReplicaRepairPolicy> repairPolicies = new EnumMap<>(RecordTopic.class);
    private final RepairBudget repairBudget = new RepairBudget(REPAIR_BURST_BYTES);
    private final RepairBudget earlierRecordsBudget = new RepairBudget(EARLIER_RECORDS_BURST_BYTES);
    private final Deque<PendingRecords> pendingEarlierRecords = new ArrayDeque<>();
    private final Map<RecordTopic, Map<String, Long>> changedAtMillis = new EnumMap<>(RecordTopic.class);
    private final Map<String, VersionedRecord> pendingOperatorRecords = new LinkedHashMap<>();
    private final Map<String, WorkTotals> lastReportedTotals = new HashMap<>();
    private final Map<Class<? extends Message>, BiConsumer<ConfigurationPeer, Message>> handlers = new HashMap<>();
    private final List<Consumer<ConfigurationPeer>> connectionHandlers = new ArrayList<>();
    private Runnable workReportHandler = () -> {};
    private QuarantineEvidence pendingEvidence = QuarantineEvidence.NONE;
    private boolean lastReportedStoreAccess = true;
    private long lastReportedEra;
    private BooleanSupplier canReadStore = () -> true;
    private BooleanSupplier storeWasUnavailable = () -> false;
    private boolean isFullyConnected = true;
    private boolean isOperatorBroadcastScheduled;
    private long operatorRecordsSentAtMillis = Long.MIN_VALUE / 2;
    private long lastReportAtMillis;

    /** Records of earlier eras that wait until the budget allows to send them. */
    private record PendingRecords(ConfigurationPeer peer, RecordTopic topic, RelayedRecords message) {}

    RouterExchange(
            Vertx vertx,
            String self,
            ForwardingState state,
            WorkLedger ledger,
            MonotonicClock clock,
            PromptGuard promptGuard) {
        this.vertx = vertx;
        this.self = self;
        this.state = state;
        this.ledger = ledger;
        this.clock = clock;
        this.promptGuard = promptGuard;
        promptGuard.onEvidence(this::share);
        for (RecordTopic topic : RecordTopic.values()) {
            repairPolicies.put(topic, new ReplicaRepairPolicy());
            changedAtMillis.put(topic, new HashMap<>());
        }
        state.onChange(this::recordChanges);
        state.onEra(ignored -> handleEra());
        state.onComplete(this::handleComplete);
    }

    /**
     * Sets the supplier that tells whether this router can read the store.
     *
     * @param supplier returns true if the store can be read
     */
    void setCanReadStore(BooleanSupplier supplier) {
        canReadStore = supplier;
    }

    /**
     * Sets the supplier that tells whether the store was recently unavailable.
     *
     * @param supplier returns true if entries may have lapsed only because the store was unavailable
     */
    void setStoreWasUnavailable(BooleanSupplier supplier) {
        storeWasUnavailable = supplier;
    }

    /**
     * Part that this router takes in reading the store.
     *
     * @return the role among the connected routers
     */
    StoreRole storeRole() {
        return StoreReaders.roleOf(self, storeAccessByRouter);
    }

    /**
     * Part that this router takes in reading the store while all connected routers can read it.
     *
     * @return the role among the connected routers
     */
    StoreRole usualStoreRole() {
        Map<String, Boolean> readers = new HashMap<>();
        connectedRouters().forEach(name -> readers.put(name, true));
        return StoreReaders.roleOf(self, readers);
    }

    void start() {
        vertx.setPeriodic(REPORT_CHECK_INTERVAL_MILLIS, ignored -> {
            sendPendingEarlierRecords();
            if (clock.millis() - lastReportAtMillis >= ReportInterval.millis(peers.size())) {
                report();
            }
        });
        vertx.setPeriodic(QUARANTINE_EXPIRY_INTERVAL_MILLIS, ignored -> promptGuard.expire());
    }

    /**
     * Relays records that were read from the store to the connected routers.
     *
     * @param topic their topic
     * @param records the records
     * @param mayHaveLapsed whether removed entries may have lapsed only because the store was unavailable
     */
    void relay(RecordTopic topic, List<VersionedRecord> records, boolean mayHaveLapsed) {
        if (records.isEmpty()) {
            return;
        }
        if (topic != RecordTopic.OPERATORS) {
            broadcast(null, toRelayedRecords(topic, newestByKey(records).values(), mayHaveLapsed));
            return;
        }
        if (storeRole() == StoreRole.FIRST_READER) {
            pendingOperatorRecords.putAll(newestByKey(records));
            broadcastOperatorRecords();
        }
    }

    /** Sends operators' records; only the newest of a series of changes to a key, because each is large. */
    private void broadcastOperatorRecords() {
        if (isOperatorBroadcastScheduled || pendingOperatorRecords.isEmpty()) {
            return;
        }
        long waitMillis = operatorRecordsSentAtMillis + OPERATOR_RECORDS_INTERVAL_MILLIS - clock.millis();
        if (waitMillis > 0) {
            isOperatorBroadcastScheduled = true;
            vertx.setTimer(waitMillis, ignored -> {
                isOperatorBroadcastScheduled = false;
                broadcastOperatorRecords();
            });
            return;
        }
        operatorRecordsSentAtMillis = clock.millis();
        broadcast(null, toRelayedRecords(RecordTopic.OPERATORS, pendingOperatorRecords.values(), false));
        pendingOperatorRecords.clear();
    }

    private static Map<String, VersionedRecord> newestByKey(List<VersionedRecord> records) {
        Map<String, VersionedRecord> newest = new LinkedHashMap<>();
        records.forEach(record -> newest.put(record.key(), record));
        return newest;
    }

    /**
     * Names of the connected routers.
     *
     * @return the names, without this router's own
     */
    Set<String> connectedRouters() {
        Set<String> names = new LinkedHashSet<>();
        peers.forEach(peer -> names.add(peer.name()));
        return names;
    }

    @Override
    public void handleConnected(ConfigurationPeer peer) {
        peers.add(peer);
        LOGGER.info("router connected name={} connections={}", peer.name(), peers.size());
        // The report contains the offset sums, so that only records that the other router lacks are sent. Complete
        // copies
        // with each new connection kept a congested link congested: silent connections are opened again and again.
        Map<String, WorkTotals> own = ledger.ownWork();
        peer.send(new WorkReport(
                self, toEndpointWork(own), true, canReadStore.getAsBoolean(), recordOffsetSums(), state.era()));
        for (RecordTopic topic : RecordTopic.values()) {
            sendEarlierRecords(topic, List.of(peer));
        }
        QuarantineEvidence evidence = promptGuard.evidence();
        if (!evidence.isEmpty()) {
            toReports(evidence).forEach(peer::send);
        }
        connectionHandlers.forEach(handler -> handler.accept(peer));
    }

    @Override
    public void handleDisconnected(ConfigurationPeer peer) {
        peers.remove(peer);
        pendingEarlierRecords.removeIf(pending -> pending.peer() == peer);
        if (!connectedRouters().contains(peer.name())) {
            storeAccessByRouter.remove(peer.name());
            repairPolicies.values().forEach(policy -> policy.removePeer(peer.name()));
        }
        LOGGER.info("router disconnected name={} connections={}", peer.name(), peers.size());
    }

    @Override
    public void handleMessage(ConfigurationPeer peer, Message message) {
        if (message instanceof WorkReport report) {
            Map<String, WorkTotals> totals = new HashMap<>();
            for (EndpointWork work : report.work()) {
                totals.put(
                        work.endpoint(),
                        new WorkTotals(work.running(), work.waitingTokens(), work.residentTokens(), work.heldTokens()));
            }
            ledger.updatePeer(report.router(), totals, report.whole(), clock.millis());
            workReportHandler.run();
            storeAccessByRouter.put(report.router(), report.readsStore());
            state.beginEra(report.era());
            repairIfLagging(peer, report);
        }
        if (message instanceof RelayedRecords relayed) {
            handleRelayedRecords(peer, relayed);
        }
        if (message instanceof QuarantineReport received) {
            MergedEvidence merged = promptGuard.merge(received.evidence());
            if (!isFullyConnected && !merged.added().isEmpty()) {
                toReports(merged.added()).forEach(report -> broadcast(peer, report));
            }
            share(merged.reply());
        }
        BiConsumer<ConfigurationPeer, Message> handler = handlers.get(message.getClass());
        if (handler != null) {
            handler.accept(peer, message);
        }
    }

    /**
     * Registers the handler of a type of message that only one part of the router uses. Messages may be lost, repeated and
     * reordered.
     *
     * @param type type of the message
     * @param handler receives the sender and the message
     * @param <M> type of the message
     */
    <M extends Message> void register(Class<M> type, BiConsumer<ConfigurationPeer, M> handler) {
        handlers.put(type, (peer, message) -> handler.accept(peer, type.cast(message)));
    }

    /**
     * Sets the handler of work reports.
     *
     * @param handler called when the work of another router has been updated
     */
    void onWorkReport(Runnable handler) {
        workReportHandler = handler;
    }

    /**
     * Registers a part of the router that sends messages to a router when it connects.
     *
     * @param handler receives the connected router
     */
    void onConnected(Consumer<ConfigurationPeer> handler) {
        connectionHandlers.add(handler);
    }

    /**
     * Sends a message to all connected routers.
     *
     * @param message the message
     */
    void broadcast(Message message) {
        broadcast(null, message);
    }

    /** Whether another connected router reported that it can read the store. */
    boolean isStoreReadByOthers() {
        return storeAccessByRouter.containsValue(true);
    }

    /** Whether every router is connected to every other one, so that messages need not be relayed. */
    boolean isFullyConnected() {
        return isFullyConnected;
    }

    @Override
    public void updateMemberCounts(int liveRouters, int reachable) {
        isFullyConnected = liveRouters <= MeshTopology.MAXIMUM_FULL_MESH_ROUTERS;
        LOGGER.debug("routers listed={} reachable={}", liveRouters, reachable);
    }

    /** Sends a lagging router the records of the topics that it lacks. */
    private void repairIfLagging(ConfigurationPeer peer, WorkReport report) {
        recordOffsetSums();
        for (RecordTopic topic : RecordTopic.values()) {
            if (topic.ordinal() < report.known().size() && isRepairDue(topic, peer, report)) {
                repair(topic, peer);
            }
        }
    }

    private void repair(RecordTopic topic, ConfigurationPeer peer) {
        long sinceMillis = repairPolicies.get(topic).missingSinceMillis(peer.name());
        RecordReplica replica = state.replica(topic);
        List<VersionedRecord> records = replica.logRecords().stream()
                .filter(record -> changedAtMillis(topic, record) >= sinceMillis)
                .toList();
        long bytes = records.stream().mapToLong(RouterExchange::size).sum();
        boolean isSent = repairBudget.tryTake(bytes, clock.millis());
        LOGGER.info(
                "records repaired topic={} to={} records={} bytes={} sent={}",
                topic,
                peer.name(),
                records.size(),
                bytes,
                isSent);
        if (isSent) {
            boolean isWhole = sinceMillis == Long.MIN_VALUE && replica.isComplete();
            peer.send(new RelayedRecords(
                    topic.name(),
                    toKeyedRecords(records),
                    storeWasUnavailable.getAsBoolean(),
                    state.era(),
                    state.era(),
                    isWhole ? replica.nextOffset() : 0,
                    writtenFrom(topic)));
        }
    }

    /** Tells the other routers of a new era, and forgets what concerns the log of the era before. */
    private void handleEra() {
        pendingOperatorRecords.clear();
        pendingEarlierRecords.clear();
        changedAtMillis.values().forEach(Map::clear);
        recordOffsetSums();
        report();
    }

    /** Tells other routers how much of the log this one has, and what the log has lost: they may know nothing of it. */
    private void handleComplete(RecordTopic topic) {
        recordOffsetSums();
        state.replica(topic)
                .logRecords()
                .forEach(record -> changedAtMillis.get(topic).putIfAbsent(record.key(), clock.millis()));
        if (storeRole() == StoreRole.FOLLOWER) {
            return;
        }
        sendEarlierRecords(topic, onePeerForEachName());
    }

    /** Sends operators' records at once, which are few, and those of other topics as the budget allows. */
    private void sendEarlierRecords(RecordTopic topic, Collection<ConfigurationPeer> receivers) {
        for (RelayedRecords message : toEarlierRecords(topic)) {
            for (ConfigurationPeer receiver : receivers) {
                if (topic == RecordTopic.OPERATORS) {
                    logEarlierRecords(message, receiver.name());
                    receiver.send(message);
                } else {
                    pendingEarlierRecords.add(new PendingRecords(receiver, topic, message));
                }
            }
        }
        sendPendingEarlierRecords();
    }

    private void sendPendingEarlierRecords() {
        Map<RecordTopic, Set<String>> earlierKeys = new EnumMap<>(RecordTopic.class);
        while (!pendingEarlierRecords.isEmpty()) {
            PendingRecords pending = pendingEarlierRecords.peekFirst();
            Set<String> keys = earlierKeys.computeIfAbsent(pending.topic(), this::earlierKeys);
            // Meanwhile most endpoints have written their records again.
            List<KeyedRecord> records = pending.message().records().stream()
                    .filter(record -> keys.contains(record.key()))
                    .toList();
            long bytes = records.stream().mapToLong(RouterExchange::size).sum();
            if (bytes > 0 && !earlierRecordsBudget.tryTake(bytes, clock.millis())) {
                return;
            }
            pendingEarlierRecords.removeFirst();
            if (!records.isEmpty()) {
                RelayedRecords message = new RelayedRecords(
                        pending.topic().name(),
                        records,
                        true,
                        state.era(),
                        pending.message().writtenEra(),
                        0,
                        writtenFrom(pending.topic()));
                logEarlierRecords(message, pending.peer().name());
                pending.peer().send(message);
            }
        }
    }

    private Set<String> earlierKeys(RecordTopic topic) {
        Set<String> keys = new HashSet<>();
        state.replica(topic)
                .earlierRecords()
                .forEach(earlier -> keys.add(earlier.record().key()));
        return keys;
    }

    private static void logEarlierRecords(RelayedRecords message, String receiver) {
        LOGGER.info(
                "earlier records sent topic={} to={} era={} writtenEra={} records={}",
                message.topic(),
                receiver,
                message.era(),
                message.writtenEra(),
                message.records().size());
    }

    /** Messages with the records of earlier eras that the log of this era has not confirmed, in parts for each such era. */
    private List<RelayedRecords> toEarlierRecords(RecordTopic topic) {
        RecordReplica replica = state.replica(topic);
        Map<Long, List<VersionedRecord>> recordsByEra = new TreeMap<>();
        if (replica.isComplete()) {
            for (EarlierRecord earlier : replica.earlierRecords()) {
                // Without a named era, a receiver would take them for records of the present log.
                if (earlier.era() < state.era()) {
                    recordsByEra
                            .computeIfAbsent(earlier.era(), ignored -> new ArrayList<>())
                            .add(earlier.record());
                }
            }
        }
        List<RelayedRecords> messages = new ArrayList<>();
        recordsByEra.forEach((writtenEra, records) -> {
            for (List<VersionedRecord> part : toParts(records)) {
                messages.add(new RelayedRecords(
                        topic.name(), toKeyedRecords(part), true, state.era(), writtenEra, 0, writtenFrom(topic)));
            }
        });
        return messages;
    }

    private static List<List<VersionedRecord>> toParts(List<VersionedRecord> records) {
        List<List<VersionedRecord>> parts = new ArrayList<>();
        long bytes = MAXIMUM_PART_BYTES;
        for (VersionedRecord record : records) {
            if (bytes >= MAXIMUM_PART_BYTES) {
                parts.add(new ArrayList<>());
                bytes = 0;
            }
            parts.get(parts.size() - 1).add(record);
            bytes += size(record);
        }
        return parts;
    }

    private long changedAtMillis(RecordTopic topic, VersionedRecord record) {
        return changedAtMillis.get(topic).getOrDefault(record.key(), Long.MAX_VALUE);
    }

    private static long size(VersionedRecord record) {
        return size(record.key(), record.value());
    }

    private static long size(KeyedRecord record) {
        return size(record.key(), record.value());
    }

    private static long size(String key, byte @Nullable [] value) {
        return key.length() + (value == null ? 0 : value.length);
    }

    private void recordChanges(RecordTopic topic, List<VersionedRecord> changed) {
        changed.forEach(record -> changedAtMillis.get(topic).put(record.key(), clock.millis()));
        // From now on other routers have the time of propagation to receive these records.
        recordOffsetSums();
    }

    /** Whether this router sends its records of a topic now: to a router that has just started without the store, at once. */
    private boolean isRepairDue(RecordTopic topic, ConfigurationPeer peer, WorkReport report) {
        long offsetSum = report.known().get(topic.ordinal());
        boolean isDue =
                repairPolicies.get(topic).shouldRepair(self, peer.name(), report.era(), offsetSum, clock.millis());
        // All routers are without records for a moment when an era begins.
        boolean hasStarted = offsetSum == 0 && (report.era() == 0 || report.whole());
        return isDue || (hasStarted && state.replica(topic).offsetSum() > 0);
    }

    /** Records the offset sums of this router's copies of the topics and returns them. */
    private List<Long> recordOffsetSums() {
        List<Long> offsetSums = new ArrayList<>();
        for (RecordTopic topic : RecordTopic.values()) {
            long offsetSum = state.replica(topic).offsetSum();
            repairPolicies.get(topic).recordOwnOffsetSum(state.era(), offsetSum, clock.millis());
            offsetSums.add(offsetSum);
        }
        return offsetSums;
    }

    private void handleRelayedRecords(ConfigurationPeer peer, RelayedRecords relayed) {
        RecordTopic topic = RecordTopic.valueOf(relayed.topic());
        List<VersionedRecord> records = new ArrayList<>();
        for (KeyedRecord record : relayed.records()) {
            records.add(new VersionedRecord(record.key(), record.offset(), record.value()));
        }
        List<VersionedRecord> changed = apply(topic, relayed, records);
        if (!isFullyConnected && !changed.isEmpty()) {
            // In a large deployment a router is connected to few others, so records are relayed from router to router.
            broadcast(
                    peer,
                    new RelayedRecords(
                            relayed.topic(),
                            toKeyedRecords(changed),
                            relayed.mayHaveLapsed(),
                            relayed.era(),
                            relayed.writtenEra(),
                            0,
                            writtenFrom(topic)));
        }
        if (topic != RecordTopic.ENDPOINTS && !changed.isEmpty()) {
            LOGGER.info("records relayed topic={} from={} changed={}", topic, peer.name(), changed.size());
        }
    }

    private List<VersionedRecord> apply(RecordTopic topic, RelayedRecords relayed, List<VersionedRecord> records) {
        if (relayed.writtenFrom() > 0) {
            state.observeWrittenFrom(topic, relayed.era(), relayed.writtenFrom());
        }
        if (relayed.writtenEra() < relayed.era()) {
            List<EarlierRecord> earlier = records.stream()
                    .map(record -> new EarlierRecord(relayed.writtenEra(), record))
                    .toList();
            return state.applyEarlier(topic, relayed.era(), earlier);
        }
        state.beginEra(relayed.era());
        if (relayed.endOffset() > 0 && !state.replica(topic).isComplete()) {
            return state.applySnapshot(topic, relayed.era(), records, relayed.endOffset(), relayed.mayHaveLapsed());
        }
        return state.apply(topic, relayed.era(), records, relayed.mayHaveLapsed());
    }

    /** Reports changes of this router's work. */
    void report() {
        Map<String, WorkTotals> changed = changedTotals(ledger.ownWork());
        long now = clock.millis();
        boolean storeAccess = canReadStore.getAsBoolean();
        if (changed.isEmpty()
                && storeAccess == lastReportedStoreAccess
                && state.era() == lastReportedEra
                && now - lastReportAtMillis < UNCHANGED_REPORT_INTERVAL_MILLIS) {
            return;
        }
        lastReportedTotals.putAll(changed);
        lastReportedTotals.values().removeIf(WorkTotals.NONE::equals);
        lastReportedStoreAccess = storeAccess;
        lastReportedEra = state.era();
        lastReportAtMillis = now;
        broadcast(
                null,
                new WorkReport(self, toEndpointWork(changed), false, storeAccess, recordOffsetSums(), state.era()));
    }

    private Map<String, WorkTotals> changedTotals(Map<String, WorkTotals> own) {
        Map<String, WorkTotals> changed = new HashMap<>();
        own.forEach((endpoint, work) -> {
            if (work.differsSignificantlyFrom(lastReportedTotals.getOrDefault(endpoint, WorkTotals.NONE))) {
                changed.put(endpoint, work);
            }
        });
        for (String endpoint : lastReportedTotals.keySet()) {
            if (!own.containsKey(endpoint)) {
                changed.put(endpoint, WorkTotals.NONE);
            }
        }
        return changed;
    }

    private static List<EndpointWork> toEndpointWork(Map<String, WorkTotals> totals) {
        List<EndpointWork> work = new ArrayList<>();
        totals.forEach((endpoint, total) -> work.add(new EndpointWork(
                endpoint, total.running(), total.waitingTokens(), total.residentTokens(), total.heldTokens())));
        return work;
    }

    /** Sends evidence to all routers, together with what follows at once. */
    private void share(QuarantineEvidence evidence) {
        if (evidence.isEmpty()) {
            return;
        }
        boolean isScheduled = !pendingEvidence.isEmpty();
        pendingEvidence = pendingEvidence.plus(evidence);
        if (!isScheduled) {
            vertx.setTimer(EVIDENCE_DELAY_MILLIS, ignored -> {
                toReports(pendingEvidence).forEach(report -> broadcast(null, report));
                pendingEvidence = QuarantineEvidence.NONE;
            });
        }
    }

    private List<QuarantineReport> toReports(QuarantineEvidence evidence) {
        return evidence.shiftedBy(-clock.millis()).split().stream()
                .map(QuarantineReport::new)
                .toList();
    }

    private void broadcast(@Nullable ConfigurationPeer except, Message message) {
        Set<String> reached = new LinkedHashSet<>();
        for (ConfigurationPeer peer : List.copyOf(peers)) {
            if (peer != except && reached.add(peer.name())) {
                peer.send(message);
            }
        }
    }

    private Collection<ConfigurationPeer> onePeerForEachName() {
        Map<String, ConfigurationPeer> byName = new LinkedHashMap<>();
        peers.forEach(peer -> byName.putIfAbsent(peer.name(), peer));
        return byName.values();
    }

    private RelayedRecords toRelayedRecords(
            RecordTopic topic, Collection<VersionedRecord> records, boolean mayHaveLapsed) {
        return new RelayedRecords(
                topic.name(), toKeyedRecords(records), mayHaveLapsed, state.era(), state.era(), 0, writtenFrom(topic));
    }

    private long writtenFrom(RecordTopic topic) {
        long writtenFrom = state.replica(topic).writtenFrom();
        return writtenFrom == Long.MAX_VALUE ? 0 : writtenFrom;
    }

    private static List<KeyedRecord> toKeyedRecords(Collection<VersionedRecord> records) {
        List<KeyedRecord> keyed = new ArrayList<>();
        records.forEach(record -> keyed.add(new KeyedRecord(record.key(), record.offset(), record.value())));
        return keyed;
    }
}
