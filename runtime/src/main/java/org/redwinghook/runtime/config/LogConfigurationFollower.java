package org.redwinghook.runtime.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.SectionState;
import org.redwinghook.core.config.SectionVersion;
import org.redwinghook.core.config.Withdrawal;
import org.redwinghook.core.message.ConfigurationAnnouncement;
import org.redwinghook.core.message.ConfigurationPull;
import org.redwinghook.core.message.ConfigurationRecords;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.message.RawRecord;
import org.redwinghook.core.message.WithdrawalNotice;
import org.redwinghook.runtime.admin.StateSource;
import org.redwinghook.runtime.platform.LogPage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the configuration on the log and at peers. Routers poll the log. Sidecars read it once when they start, then
 * receive updates from routers and poll only while no router is connected to them. All methods run on one event loop.
 */
public final class LogConfigurationFollower implements ConfigurationService, StateSource {

    private static final Logger LOGGER = LoggerFactory.getLogger(LogConfigurationFollower.class);
    private static final int RECORDS_PER_READ = 500;
    private static final long MAINTENANCE_INTERVAL_MILLIS = 1_000;
    private static final long SIDECAR_POLL_INTERVAL_MILLIS = 60_000;
    private static final long RETRY_DELAY_MILLIS = 2_000;

    /** Time for peers to connect before a process that cannot reach the log relies on the connected ones. */
    private static final long PEER_CONNECT_GRACE_MILLIS = 2_000;

    /** Peers whose offsets a process needs to get ready without the log; fewer suffice where fewer exist. */
    private static final int MAXIMUM_REQUIRED_PEERS = 2;

    private final ProcessRole role;
    private final ConfigurationLog log;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final FollowerMetrics metrics;
    private final ConfigurationState state;
    private final SnapshotWriter snapshotWriter;
    private final PeerOffsets peers = new PeerOffsets();
    private final WithdrawalRegister withdrawals = new WithdrawalRegister();
    private final List<Consumer<Configuration>> listeners = new ArrayList<>();
    private Configuration foldedConfiguration = Configuration.EMPTY;
    private Configuration current = Configuration.EMPTY;
    private long startedAtMillis;
    private int liveRouters = 1;
    private int knownPeers;
    private final List<Runnable> confirmationListeners = new ArrayList<>();
    private boolean hasReachedLogEnd;
    private boolean isLogReachable = true;
    private boolean ready;
    private boolean isStopped;

    /**
     * Creates a follower.
     *
     * @param role role of the process
     * @param log stream of configuration records
     * @param retentionMillis time for which the log retains records, in milliseconds
     * @param scheduler clock and timers
     * @param random source of jitter and random delays
     * @param registry registry for the counters
     */
    public LogConfigurationFollower(
            ProcessRole role,
            ConfigurationLog log,
            long retentionMillis,
            Scheduler scheduler,
            RandomGenerator random,
            MeterRegistry registry) {
        this.role = role;
        this.log = log;
        this.scheduler = scheduler;
        this.random = random;
        this.metrics = new FollowerMetrics(registry);
        ConfigurationCodec codec = new ConfigurationCodec();
        this.state = new ConfigurationState(codec, metrics);
        this.snapshotWriter = new SnapshotWriter(log, codec, scheduler, random, metrics, retentionMillis);
        registry.gauge("redwinghook.configuration.offset", this, follower -> follower.foldedConfiguration.offset());
    }

    @Override
    public void start() {
        startedAtMillis = scheduler.nowMillis();
        poll();
        runMaintenance();
    }

    @Override
    public void stop() {
        isStopped = true;
    }

    @Override
    public Configuration current() {
        return current;
    }

    @Override
    public void onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
    }

    @Override
    public void onConfirmed(Runnable listener) {
        confirmationListeners.add(listener);
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    @Override
    public void updateMemberCounts(int liveRouterCount, int peerCount) {
        liveRouters = liveRouterCount;
        knownPeers = peerCount;
    }

    @Override
    public boolean withdraw(Withdrawal withdrawal) {
        return addWithdrawal(new WithdrawalNotice(withdrawal, WithdrawalRegister.MAXIMUM_DURATION_MILLIS), null);
    }

    @Override
    public List<Withdrawal> withdrawals() {
        return withdrawals.list();
    }

    @Override
    public void handleConnected(ConfigurationPeer peer) {
        peers.addPeer(peer);
        peer.send(new ConfigurationAnnouncement(foldedConfiguration.offset()));
        withdrawals.createNotices(scheduler.nowMillis()).forEach(peer::send);
    }

    @Override
    public void handleDisconnected(ConfigurationPeer peer) {
        peers.removePeer(peer);
    }

    @Override
    public void handleMessage(ConfigurationPeer peer, Message message) {
        if (message instanceof ConfigurationAnnouncement announcement) {
            handlePeerOffset(peer, announcement.offset());
        } else if (message instanceof Hello hello) {
            handlePeerOffset(peer, hello.configurationOffset());
        } else if (message instanceof Heartbeat heartbeat) {
            handlePeerOffset(peer, heartbeat.configurationOffset());
        } else if (message instanceof ConfigurationPull pull) {
            state.createResponse(pull).forEach(peer::send);
        } else if (message instanceof ConfigurationRecords records) {
            handleRecords(peer, records);
        } else if (message instanceof WithdrawalNotice notice) {
            addWithdrawal(notice, peer);
        }
    }

    @Override
    public Object state() {
        return new FollowerState(
                foldedConfiguration.offset(),
                ready,
                isLogReachable,
                peers.peerCount(),
                state.fold().pendingChanges().size(),
                withdrawals.list(),
                foldedConfiguration.sections());
    }

    private void poll() {
        if (isStopped) {
            return;
        }
        metrics.recordPoll();
        log.read(state.fold().offset() + 1, RECORDS_PER_READ)
                // An exception while records are applied becomes a failed future, so that polling continues.
                .compose(page -> {
                    applyPage(page);
                    return Future.succeededFuture();
                })
                .onFailure(this::handlePollFailure);
    }

    private void applyPage(LogPage page) {
        if (!isLogReachable) {
            isLogReachable = true;
            LOGGER.info("configuration log reachable");
        }
        state.startAt(page.firstOffset());
        state.applyRecords(page.records().stream()
                .map(entry -> new RawRecord(entry.offset(), entry.timestampMillis(), entry.data()))
                .toList());
        boolean isAtEnd = state.fold().offset() + 1 >= page.nextOffset();
        if (isAtEnd) {
            state.markLogEndReached();
            hasReachedLogEnd = true;
        }
        updateConfiguration();
        if (isAtEnd) {
            notifyIfConfirmed(page.nextOffset() - 1);
        }
        if (!isAtEnd && !page.records().isEmpty()) {
            poll();
            return;
        }
        scheduler.schedule(nextPollMillis(), this::pollIfNeeded);
    }

    private void handlePollFailure(Throwable failure) {
        metrics.recordPollFailure();
        if (isLogReachable) {
            isLogReachable = false;
            LOGGER.warn("configuration log unreachable cause={}", failure.toString());
        }
        pullIfLagging();
        scheduler.schedule(Math.max(RETRY_DELAY_MILLIS, nextPollMillis()), this::pollIfNeeded);
    }

    private long nextPollMillis() {
        if (role == ProcessRole.ROUTER) {
            return PollInterval.millis(liveRouters, random);
        }
        return hasReachedLogEnd
                ? SIDECAR_POLL_INTERVAL_MILLIS
                : RETRY_DELAY_MILLIS + random.nextLong(RETRY_DELAY_MILLIS);
    }

    private void pollIfNeeded() {
        boolean isUpdatedByRouters = role == ProcessRole.SIDECAR && ready && peers.peerCount() > 0;
        if (isUpdatedByRouters) {
            scheduler.schedule(SIDECAR_POLL_INTERVAL_MILLIS, this::pollIfNeeded);
            return;
        }
        poll();
    }

    private void runMaintenance() {
        if (isStopped) {
            return;
        }
        if (withdrawals.removeExpired(scheduler.nowMillis(), foldedConfiguration)) {
            updateCurrentConfiguration();
        }
        if (hasReachedLogEnd && isLogReachable && state.fold().isConsistent()) {
            snapshotWriter.scheduleDueSnapshots(state::fold);
        }
        pullIfLagging();
        updateReadiness();
        scheduler.schedule(MAINTENANCE_INTERVAL_MILLIS, this::runMaintenance);
    }

    private void handlePeerOffset(ConfigurationPeer peer, long offset) {
        peers.recordOffset(peer, offset);
        pullIfLagging();
        updateReadiness();
        notifyIfConfirmed(offset);
    }

    /**
     * Notifies the confirmation listeners if the configuration includes the offset that the log or a peer has reached.
     */
    private void notifyIfConfirmed(long offset) {
        if (ready && foldedConfiguration.offset() >= offset) {
            List.copyOf(confirmationListeners).forEach(Runnable::run);
        }
    }

    private void pullIfLagging() {
        boolean isReadingLog = !hasReachedLogEnd && isLogReachable;
        if (isReadingLog) {
            return;
        }
        boolean isConsistent = state.fold().isConsistent();
        long offset = isConsistent ? state.fold().offset() : foldedConfiguration.offset();
        if (peers.pullIfLagging(offset, !isConsistent, scheduler.nowMillis())) {
            metrics.recordPull();
        }
    }

    private void handleRecords(ConfigurationPeer peer, ConfigurationRecords part) {
        Optional<List<SectionState>> sections = peers.collectPart(peer, part, scheduler.nowMillis());
        if (sections.isEmpty()) {
            return;
        }
        if (part.whole() && part.through() > foldedConfiguration.offset()) {
            state.applyPeerState(part.through(), sections.get(), part.pending());
        } else if (!part.whole() && part.after() <= state.fold().offset()) {
            state.applyRecords(part.records());
        }
        updateConfiguration();
        pullIfLagging();
    }

    private void updateConfiguration() {
        if (!state.fold().isConsistent() || state.fold().offset() <= foldedConfiguration.offset()) {
            updateReadiness();
            return;
        }
        foldedConfiguration = state.configuration();
        withdrawals.removeExpired(scheduler.nowMillis(), foldedConfiguration);
        updateCurrentConfiguration();
        ConfigurationAnnouncement announcement = new ConfigurationAnnouncement(foldedConfiguration.offset());
        peers.laggingPeers(foldedConfiguration.offset()).forEach(peer -> peer.send(announcement));
        updateReadiness();
    }

    private void updateCurrentConfiguration() {
        current = withdrawals.list().isEmpty()
                ? foldedConfiguration
                : foldedConfiguration.withWithdrawals(withdrawals.list());
        List.copyOf(listeners).forEach(listener -> listener.accept(current));
    }

    private boolean addWithdrawal(WithdrawalNotice notice, @Nullable ConfigurationPeer sender) {
        long nowMillis = scheduler.nowMillis();
        if (!withdrawals.add(notice.withdrawal(), notice.remainingMillis(), nowMillis, foldedConfiguration)) {
            return false;
        }
        LOGGER.info("withdrawal applied without log withdrawal={}", notice.withdrawal());
        peers.peersExcept(sender).forEach(peer -> peer.send(notice));
        updateCurrentConfiguration();
        return true;
    }

    private void updateReadiness() {
        if (ready || foldedConfiguration.offset() == 0) {
            return;
        }
        ready = hasReachedLogEnd || hasCaughtUpWithPeers();
        if (ready) {
            LOGGER.info("configuration ready offset={}", foldedConfiguration.offset());
        }
    }

    /** Returns whether the log is unreachable and enough peers have no newer configuration. */
    private boolean hasCaughtUpWithPeers() {
        boolean isOutage = !isLogReachable && scheduler.nowMillis() - startedAtMillis >= PEER_CONNECT_GRACE_MILLIS;
        int requiredPeers = Math.max(1, Math.min(MAXIMUM_REQUIRED_PEERS, Math.max(knownPeers, peers.peerCount())));
        return isOutage
                && peers.knownOffsetCount() >= requiredPeers
                && foldedConfiguration.offset() >= peers.highestOffset();
    }

    private record FollowerState(
            long offset,
            boolean ready,
            boolean isLogReachable,
            int openPeers,
            int pendingChanges,
            List<Withdrawal> withdrawals,
            java.util.Map<String, SectionVersion> sections) {}
}
