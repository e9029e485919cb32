package org.redwinghook.runtime.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.redwinghook.core.config.PlaceKind;
import org.redwinghook.core.config.SectionChange;
import org.redwinghook.core.config.SectionVersion;
import org.redwinghook.core.config.Withdrawal;
import org.redwinghook.core.membership.MeshPositions;
import org.redwinghook.core.message.ConfigurationAnnouncement;
import org.redwinghook.core.message.ConfigurationRecords;
import org.redwinghook.core.message.ProcessRole;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public final class LogConfigurationFollowerTest {

    private static final long RETENTION_MILLIS = 10_000_000;

    /** Followers with their log and their connections, in virtual time. */
    private static class Deployment {

        final VirtualTime time = new VirtualTime();
        final FakeLog log = new FakeLog(time, RETENTION_MILLIS);
        final FakeNetwork network = new FakeNetwork(time);
        final Random random = new Random(7);
        private long version;

        LogConfigurationFollower createFollower(ProcessRole role) {
            return new LogConfigurationFollower(role, log, RETENTION_MILLIS, time, random, new SimpleMeterRegistry());
        }

        LogConfigurationFollower startFollower(ProcessRole role) {
            LogConfigurationFollower follower = createFollower(role);
            follower.start();
            return follower;
        }

        long putOwner(String name) {
            version = log.put(change("owners", version, name, "{}"));
            return version;
        }

        static SectionChange change(String section, long replaces, String entry, String text) {
            return new SectionChange(section, "team", replaces, "c", "author", Map.of(entry, text), List.of());
        }
    }

    public static final class Confirmation {

        /** Guards against confirmation of a configuration by a peer that has a newer one. */
        @Test
        public void onlyPeersWithoutNewerConfigurationConfirm() {
            Deployment deployment = new Deployment();
            deployment.putOwner("a");
            LogConfigurationFollower router = deployment.startFollower(ProcessRole.ROUTER);
            LogConfigurationFollower sidecar = deployment.startFollower(ProcessRole.SIDECAR);
            deployment.time.advance(5_000);
            List<Long> confirmed = new ArrayList<>();
            sidecar.onConfirmed(() -> confirmed.add(sidecar.current().offset()));
            deployment.network.connect(router, sidecar);
            deployment.network.sendHeartbeats();
            deployment.time.advance(1_000);
            assertTrue(confirmed.contains(1L), "heartbeats of a router with the same offset confirm");
            deployment.network.deliverOnly(message -> !(message instanceof ConfigurationRecords));
            deployment.putOwner("b");
            deployment.time.advance(10_000);
            confirmed.clear();
            deployment.network.sendHeartbeats();
            deployment.time.advance(1_000);
            assertEquals(router.current().offset(), 2);
            assertEquals(confirmed, List.of());
        }
    }

    public static final class Distribution {

        /** Guards against changes that take longer than the allowed seven seconds to reach a process. */
        @Test
        public void changeReachesAllProcessesWithinSevenSeconds() {
            Deployment deployment = new Deployment();
            List<String> names = new ArrayList<>();
            List<LogConfigurationFollower> routers = new ArrayList<>();
            for (int index = 0; index < 360; index++) {
                names.add(String.format("router-%03d", index));
                routers.add(deployment.createFollower(ProcessRole.ROUTER));
                routers.get(index).updateMemberCounts(360, 0);
            }
            for (int index = 0; index < routers.size(); index++) {
                for (String neighbour : MeshPositions.neighbours(names, names.get(index))) {
                    deployment.network.connect(routers.get(index), routers.get(names.indexOf(neighbour)));
                }
            }
            LogConfigurationFollower sidecar = deployment.createFollower(ProcessRole.SIDECAR);
            deployment.network.connect(routers.get(17), sidecar);
            deployment.putOwner("a");
            // Processes that all start at once would also poll at once; a rolling start distributes the polls.
            for (LogConfigurationFollower router : routers) {
                router.start();
                deployment.time.advance(170);
            }
            sidecar.start();
            deployment.time.advance(120_000);
            int readsBefore = deployment.log.readCount();
            deployment.time.advance(60_000);
            int reads = deployment.log.readCount() - readsBefore;
            assertTrue(reads > 3 * 60 && reads < 9 * 60, reads + " reads a minute");
            for (int change = 0; change < 5; change++) {
                int messagesBefore = deployment.network.sentMessages();
                long offset = deployment.putOwner("b" + change);
                deployment.time.advance(7_000);
                routers.forEach(router -> assertEquals(router.current().offset(), offset));
                assertEquals(sidecar.current().offset(), offset);
                int messagesPerRouter = (deployment.network.sentMessages() - messagesBefore) / 360;
                assertTrue(messagesPerRouter <= 20, messagesPerRouter + " messages for each router");
            }
        }

        /** Guards against a process that keeps an old configuration when announcements are lost. */
        @Test
        public void heartbeatRepairsLostAnnouncements() {
            Deployment deployment = new Deployment();
            deployment.putOwner("a");
            LogConfigurationFollower router = deployment.startFollower(ProcessRole.ROUTER);
            LogConfigurationFollower sidecar = deployment.startFollower(ProcessRole.SIDECAR);
            deployment.network.connect(router, sidecar);
            deployment.time.advance(1_000);
            deployment.network.deliverOnly(message -> !(message instanceof ConfigurationAnnouncement));
            long offset = deployment.putOwner("b");
            deployment.time.advance(5_000);
            assertEquals(router.current().offset(), offset);
            assertEquals(sidecar.current().offset(), offset - 1);
            deployment.network.sendHeartbeats();
            deployment.time.advance(10);
            assertEquals(sidecar.current().offset(), offset);
        }

        /** Guards against a single undecodable record that stops all processes. */
        @Test
        public void undecodableRecordIsSkipped() {
            Deployment deployment = new Deployment();
            deployment.log.store("{\"type\": \"change\", \"section\": null}".getBytes(StandardCharsets.UTF_8));
            deployment.log.store("no JSON".getBytes(StandardCharsets.UTF_8));
            long offset = deployment.putOwner("a");
            LogConfigurationFollower router = deployment.startFollower(ProcessRole.ROUTER);
            assertEquals(router.current().version("owners"), new SectionVersion(offset, "team"));
        }

        /** Guards against poll intervals that are too short or too long for some number of routers. */
        @Test
        public void pollIntervalStaysWithinItsBounds() {
            Random random = new Random(3);
            for (int routers : new int[] {0, 1, 2, 10, 100, 360, 5_000}) {
                for (int draw = 0; draw < 100; draw++) {
                    long millis = PollInterval.millis(routers, random);
                    assertTrue(millis >= 500 && millis <= 60_000, millis + " ms for " + routers);
                }
            }
        }
    }

    public static final class Outage {

        /** Guards against a process that starts with an old configuration of a peer, or that never gets ready. */
        @Test
        public void startUsesTheHighestOffsetOfItsPeers() {
            Deployment deployment = new Deployment();
            List<LogConfigurationFollower> peers = new ArrayList<>();
            for (String name : List.of("a", "b", "c")) {
                deployment.putOwner(name);
                LogConfigurationFollower peer = deployment.startFollower(ProcessRole.ROUTER);
                peer.stop();
                peers.add(peer);
            }
            deployment.log.setDown(true);
            LogConfigurationFollower lateFollower = deployment.createFollower(ProcessRole.ROUTER);
            lateFollower.updateMemberCounts(4, 3);
            lateFollower.start();
            deployment.network.connect(lateFollower, peers.get(0));
            deployment.time.advance(5_000);
            assertFalse(lateFollower.isReady(), "one of three peers is not enough");
            deployment.network.connect(lateFollower, peers.get(2));
            deployment.network.connect(lateFollower, peers.get(1));
            deployment.time.advance(5_000);
            assertTrue(lateFollower.isReady());
            assertEquals(lateFollower.current().offset(), 3);
            assertEquals(lateFollower.current().owners().size(), 3);
        }

        /** Guards against a process that is ready without a configuration, or never ready with a single peer. */
        @Test
        public void singlePeerIsEnoughWhereThereIsNoOther() {
            Deployment deployment = new Deployment();
            deployment.putOwner("a");
            LogConfigurationFollower peer = deployment.startFollower(ProcessRole.ROUTER);
            deployment.log.setDown(true);
            LogConfigurationFollower lateFollower = deployment.startFollower(ProcessRole.SIDECAR);
            deployment.time.advance(10_000);
            assertFalse(lateFollower.isReady());
            deployment.network.connect(peer, lateFollower);
            deployment.time.advance(5_000);
            assertTrue(lateFollower.isReady());
            assertEquals(lateFollower.current().owners().size(), 1);
        }

        /**
         * Guards against a follower that never gets ready when the log has dropped the first records and becomes
         * unreachable before the follower has read the rest.
         */
        @Test
        public void followerWithoutBaseRecordsPullsWholeSections() {
            Deployment deployment = new Deployment();
            deployment.putOwner("a");
            LogConfigurationFollower peer = deployment.startFollower(ProcessRole.ROUTER);
            // The peer keeps polling until the first record has expired; it appends no snapshot in this test.
            deployment.time.advance(RETENTION_MILLIS / 3);
            deployment.putOwner("b");
            deployment.putOwner("c");
            deployment.time.advance(1_000);
            peer.stop();
            deployment.time.advance(RETENTION_MILLIS * 2 / 3);
            deployment.log.setReadableThrough(2);
            LogConfigurationFollower lateFollower = deployment.startFollower(ProcessRole.ROUTER);
            deployment.time.advance(5_000);
            assertEquals(lateFollower.current().offset(), 0, "a change without the records before it is not in force");
            lateFollower.updateMemberCounts(2, 1);
            deployment.network.connect(lateFollower, peer);
            deployment.time.advance(5_000);
            assertTrue(lateFollower.isReady());
            assertEquals(lateFollower.current().owners().keySet(), java.util.Set.of("a", "b", "c"));
            deployment.log.setReadableThrough(Long.MAX_VALUE);
            long offset = deployment.putOwner("d");
            deployment.time.advance(5_000);
            assertEquals(lateFollower.current().version("owners").version(), offset);
        }
    }

    public static final class Retention {

        /** Guards against sections that are lost when the log drops the records that they were built from. */
        @Test
        public void snapshotsKeepAllSectionsOnTheLog() {
            Deployment deployment = new Deployment();
            deployment.putOwner("a");
            deployment.log.put(Deployment.change("rules", 0, "attempts", "2"));
            List<LogConfigurationFollower> followers = new ArrayList<>();
            for (int index = 0; index < 5; index++) {
                followers.add(deployment.startFollower(ProcessRole.ROUTER));
            }
            for (int step = 0; step < 20; step++) {
                deployment.time.advance(RETENTION_MILLIS / 4);
                deployment.putOwner("b" + step);
                deployment.time.advance(1_000);
                LogConfigurationFollower reader = deployment.startFollower(ProcessRole.ROUTER);
                assertEquals(reader.current().owners().size(), step + 2, "step " + step);
                assertEquals(reader.current().rules().attempts(), 2);
                assertEquals(
                        reader.current().sections(), followers.get(0).current().sections());
                reader.stop();
            }
            long records = deployment.log.retained().size();
            assertTrue(records <= 20, records + " records are retained; snapshots should be few");
        }
    }

    public static final class Withdrawals {

        private static final Withdrawal WITHDRAWAL = new Withdrawal(PlaceKind.DATA_CENTRE, "dc", 0);

        /** Guards against a withdrawal that is not relayed, never ends, or is restored by a peer after its end. */
        @Test
        public void withdrawalSpreadsAndEndsAfterTwoHours() {
            Deployment deployment = new Deployment();
            deployment.putOwner("a");
            List<LogConfigurationFollower> followers = new ArrayList<>();
            for (int index = 0; index < 3; index++) {
                followers.add(deployment.startFollower(ProcessRole.ROUTER));
            }
            deployment.network.connect(followers.get(0), followers.get(1));
            deployment.log.setDown(true);
            assertTrue(followers.get(0).withdraw(WITHDRAWAL));
            assertFalse(followers.get(0).withdraw(WITHDRAWAL), "a known withdrawal is not added again");
            deployment.time.advance(3_600_000);
            assertFalse(followers.get(1).current().takesNewWork("dc", "vm"));
            deployment.network.connect(followers.get(1), followers.get(2));
            deployment.time.advance(100);
            assertFalse(followers.get(2).current().takesNewWork("dc", "vm"), "it is sent on a new connection");
            deployment.time.advance(3_602_000);
            followers.forEach(follower -> assertTrue(follower.current().takesNewWork("dc", "vm")));
            deployment.time.advance(10_000);
            followers.forEach(follower -> assertEquals(follower.withdrawals(), List.of()));
        }

        /** Guards against a withdrawal that overrides a later change on the log, or that makes a place available. */
        @Test
        public void withdrawalEndsWithAHigherVersionOfItsSection() {
            Deployment deployment = new Deployment();
            LogConfigurationFollower follower = deployment.startFollower(ProcessRole.ROUTER);
            assertTrue(follower.withdraw(WITHDRAWAL));
            List<Boolean> notified = new ArrayList<>();
            follower.onChange(configuration -> notified.add(configuration.takesNewWork("dc", "vm")));
            deployment.log.put(Deployment.change("availability.dc", 0, "dataCentre", "\"in\""));
            deployment.time.advance(2_000);
            assertEquals(notified, List.of(true));
            assertFalse(follower.withdraw(WITHDRAWAL), "the section has a higher version");
            assertTrue(follower.current().takesNewWork("dc", "vm"));
        }
    }
}
