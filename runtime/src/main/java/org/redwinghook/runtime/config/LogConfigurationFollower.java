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
 * Follows the configuration on the log and at peers. Routers poll the log; sidecars read it once at their start and
 * then hear from routers, and poll only while no router is connected to them. All methods run on one event loop.
 */
public final class LogConfigurationFollower implements ConfigurationService, StateSource {

    private static final Logger LOGGER = LoggerFactory.getLogger(LogConfigurationFollower.class);
    private static final int RECORDS_PER_READ = 500;
    private static final long TICK_MILLIS = 1_000;
    private static final long LONE_SIDECAR_POLL_MILLIS = 60_000;
    private static final long RETRY_MILLIS = 2_000;
    // Peers get this time to connect before a process that cannot reach the log relies on those that did.
    private static final long OUTAGE_START_MILLIS = 2_000;
    private static final int PEERS_IN_OUTAGE = 2;

    private final ProcessRole role;
    private final ConfigurationLog log;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final FollowerMetrics metrics;
    private final ConfigurationState state;
    private final CarryWriter carries;
    private final PeerOffsets peers = new PeerOffsets();
    private final WithdrawalRegister withdrawals = new WithdrawalRegister();
    private final List<Consumer<Configuration>> listeners = new ArrayList<>();
    private Configuration folded = Configuration.EMPTY;
    private Configuration current = Configuration.EMPTY;
    private long startedMillis;
    private int liveRouters = 1;
    private int knownPeers;
    private final List<Runnable> confirmationListeners = new ArrayList<>();
    private boolean hasReachedLogEnd;
    private boolean isLogReachable = true;
    private boolean ready;
    private boolean stopped;

    /**
     * Creates a follower that has not started.
     *
     * @param role role of the process
     * @param log the log
     * @param retentionMillis time for which the log keeps records, in milliseconds
     * @param scheduler time and timers
     * @param random gives jitter and delays
     * @param registry where counters are registered
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
        this.carries = new CarryWriter(log, codec, scheduler, random, metrics, retentionMillis);
        registry.gauge("redwinghook.configuration.offset", this, follower -> follower.folded.offset());
    }

    @Override
    public void start() {
        startedMillis = scheduler.nowMillis();
        poll();
        tick();
    }

    @Override
    public void stop() {
        stopped = true;
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
    public void membersChanged(int liveRouterCount, int peerCount) {
        liveRouters = liveRouterCount;
        knownPeers = peerCount;
    }

    @Override
    public boolean withdraw(Withdrawal withdrawal) {
        return noteWithdrawal(new WithdrawalNotice(withdrawal, WithdrawalRegister.LONGEST_MILLIS), null);
    }

    @Override
    public List<Withdrawal> withdrawals() {
        return withdrawals.list();
    }

    @Override
    public void opened(ConfigurationPeer peer) {
        peers.opened(peer);
        peer.send(new ConfigurationAnnouncement(folded.offset()));
        withdrawals.notices(scheduler.nowMillis()).forEach(peer::send);
    }

    @Override
    public void closed(ConfigurationPeer peer) {
        peers.closed(peer);
    }

    @Override
    public void received(ConfigurationPeer peer, Message message) {
        if (message instanceof ConfigurationAnnouncement announcement) {
            heard(peer, announcement.offset());
        } else if (message instanceof Hello hello) {
            heard(peer, hello.configurationOffset());
        } else if (message instanceof Heartbeat heartbeat) {
            heard(peer, heartbeat.configurationOffset());
        } else if (message instanceof ConfigurationPull pull) {
            state.answer(pull).forEach(peer::send);
        } else if (message instanceof ConfigurationRecords records) {
            take(peer, records);
        } else if (message instanceof WithdrawalNotice notice) {
            noteWithdrawal(notice, peer);
        }
    }

    @Override
    public Object state() {
        return new FollowerState(
                folded.offset(),
                ready,
                isLogReachable,
                peers.open(),
                state.folded().pendingChanges().size(),
                withdrawals.list(),
                folded.sections());
    }

    private void poll() {
        if (stopped) {
            return;
        }
        metrics.polled();
        log.read(state.folded().offset() + 1, RECORDS_PER_READ)
                // An exception of the fold becomes a failure here, so that it does not end the polling.
                .compose(page -> {
                    takePage(page);
                    return Future.succeededFuture();
                })
                .onFailure(this::pollFailed);
    }

    private void takePage(LogPage page) {
        if (!isLogReachable) {
            isLogReachable = true;
            LOGGER.info("the log can be read again");
        }
        state.startAt(page.first());
        state.fold(page.records().stream()
                .map(entry -> new RawRecord(entry.offset(), entry.timestampMillis(), entry.data()))
                .toList());
        boolean isAtEnd = state.folded().offset() + 1 >= page.next();
        if (isAtEnd) {
            state.reachedEnd();
            hasReachedLogEnd = true;
        }
        publish();
        if (isAtEnd) {
            confirm(page.next() - 1);
        }
        if (!isAtEnd && !page.records().isEmpty()) {
            poll();
            return;
        }
        scheduler.after(nextPollMillis(), this::pollIfNeeded);
    }

    private void pollFailed(Throwable failure) {
        metrics.pollFailed();
        if (isLogReachable) {
            isLogReachable = false;
            LOGGER.warn("the log cannot be read: {}", failure.toString());
        }
        pullIfBehind();
        scheduler.after(Math.max(RETRY_MILLIS, nextPollMillis()), this::pollIfNeeded);
    }

    private long nextPollMillis() {
        if (role == ProcessRole.ROUTER) {
            return PollInterval.millis(liveRouters, random);
        }
        return hasReachedLogEnd ? LONE_SIDECAR_POLL_MILLIS : RETRY_MILLIS + random.nextLong(RETRY_MILLIS);
    }

    private void pollIfNeeded() {
        boolean hearsFromRouters = role == ProcessRole.SIDECAR && ready && peers.open() > 0;
        if (hearsFromRouters) {
            scheduler.after(LONE_SIDECAR_POLL_MILLIS, this::pollIfNeeded);
            return;
        }
        poll();
    }

    private void tick() {
        if (stopped) {
            return;
        }
        if (withdrawals.expire(scheduler.nowMillis(), folded)) {
            applyWithdrawals();
        }
        if (hasReachedLogEnd && isLogReachable && state.folded().isConsistent()) {
            carries.check(state::folded);
        }
        pullIfBehind();
        updateReady();
        scheduler.after(TICK_MILLIS, this::tick);
    }

    private void heard(ConfigurationPeer peer, long offset) {
        peers.heard(peer, offset);
        pullIfBehind();
        updateReady();
        confirm(offset);
    }

    private void confirm(long offset) {
        if (ready && folded.offset() >= offset) {
            List.copyOf(confirmationListeners).forEach(Runnable::run);
        }
    }

    private void pullIfBehind() {
        boolean isReadingLog = !hasReachedLogEnd && isLogReachable;
        if (isReadingLog) {
            return;
        }
        boolean isDecided = state.folded().isConsistent();
        long offset = isDecided ? state.folded().offset() : folded.offset();
        if (peers.pull(offset, !isDecided, scheduler.nowMillis())) {
            metrics.pulled();
        }
    }

    private void take(ConfigurationPeer peer, ConfigurationRecords part) {
        Optional<List<SectionState>> sections = peers.part(peer, part, scheduler.nowMillis());
        if (sections.isEmpty()) {
            return;
        }
        if (part.whole() && part.through() > folded.offset()) {
            state.adopt(part.through(), sections.get(), part.pending());
        } else if (!part.whole() && part.after() <= state.folded().offset()) {
            state.fold(part.records());
        }
        publish();
        pullIfBehind();
    }

    private void publish() {
        if (!state.folded().isConsistent() || state.folded().offset() <= folded.offset()) {
            updateReady();
            return;
        }
        folded = state.configuration();
        withdrawals.expire(scheduler.nowMillis(), folded);
        applyWithdrawals();
        ConfigurationAnnouncement announcement = new ConfigurationAnnouncement(folded.offset());
        peers.behind(folded.offset()).forEach(peer -> peer.send(announcement));
        updateReady();
    }

    private void applyWithdrawals() {
        current = withdrawals.list().isEmpty() ? folded : folded.withWithdrawals(withdrawals.list());
        List.copyOf(listeners).forEach(listener -> listener.accept(current));
    }

    private boolean noteWithdrawal(WithdrawalNotice notice, @Nullable ConfigurationPeer from) {
        long now = scheduler.nowMillis();
        if (!withdrawals.add(notice.withdrawal(), notice.remainingMillis(), now, folded)) {
            return false;
        }
        LOGGER.info("withdrawn without the log: {}", notice.withdrawal());
        peers.others(from).forEach(peer -> peer.send(notice));
        applyWithdrawals();
        return true;
    }

    private void updateReady() {
        if (ready || folded.offset() == 0) {
            return;
        }
        ready = hasReachedLogEnd || hasCaughtUpInOutage();
        if (ready) {
            LOGGER.info("configuration is known through offset {}", folded.offset());
        }
    }

    private boolean hasCaughtUpInOutage() {
        boolean isOutage = !isLogReachable && scheduler.nowMillis() - startedMillis >= OUTAGE_START_MILLIS;
        int needed = Math.max(1, Math.min(PEERS_IN_OUTAGE, Math.max(knownPeers, peers.open())));
        return isOutage && peers.responded() >= needed && folded.offset() >= peers.highest();
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
