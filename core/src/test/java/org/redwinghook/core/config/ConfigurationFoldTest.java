package org.redwinghook.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

public final class ConfigurationFoldTest {

    private static SectionChange put(String section, String team, long replaces, String entry, double weight) {
        return new SectionChange(
                section, team, replaces, "change", "author", Map.of(entry, "{\"weight\": " + weight + "}"), List.of());
    }

    private static ConfigurationFold fold(ConfigurationRecord... records) {
        ConfigurationFold fold = new ConfigurationFold();
        for (ConfigurationRecord folded : records) {
            fold.fold(fold.offset() + 1, fold.offset() + 1, folded);
        }
        return fold;
    }

    public static final class Decisions {

        /**
         * Guards against both of two concurrent changes being accepted, or the rejected one not reporting the current
         * version.
         */
        @Test
        public void oneOfTwoRacingEditorsWins() {
            ConfigurationFold fold = fold(put("owners", "billing", 0, "a", 1));
            FoldOutcome first = fold.fold(2, 2, put("owners", "billing", 1, "b", 1));
            FoldOutcome second = fold.fold(3, 3, put("owners", "billing", 1, "c", 1));
            assertEquals(first.result(), FoldResult.ACCEPTED);
            assertEquals(second.result(), FoldResult.CONFLICT);
            assertEquals(second.current(), new SectionVersion(2, "billing"));
            assertEquals(fold.configuration().owners().keySet(), java.util.Set.of("a", "b"));
        }

        /** Guards against a team changing another team's section. */
        @Test
        public void otherTeamIsRejected() {
            ConfigurationFold fold = fold(put("owners", "billing", 0, "a", 1));
            FoldOutcome outcome = fold.fold(2, 2, put("owners", "intruders", 1, "a", 5));
            assertEquals(outcome.result(), FoldResult.WRONG_TEAM);
            assertEquals(outcome.current().team(), "billing");
        }

        /** Guards against a repeated append taking effect twice. */
        @Test
        public void repeatedAcceptedChangeIsRejected() {
            SectionChange change = put("owners", "billing", 0, "a", 1);
            ConfigurationFold fold = fold(change, change);
            assertEquals(fold.version("owners").version(), 1);
        }

        /** Guards against an invalid entry taking effect, and against one whose nesting exhausts the stack. */
        @Test
        public void invalidEntriesAreRejected() {
            ConfigurationFold fold = new ConfigurationFold();
            for (String text : List.of(
                    "{\"weight\": 0}", "{", "", "1", "{a: 1}", "{weight: 1}, b: {weight: 2}", "[".repeat(9_000))) {
                SectionChange change =
                        new SectionChange("owners", "billing", 0, "change", "author", Map.of("a", text), List.of());
                FoldOutcome outcome = fold.fold(fold.offset() + 1, 1, change);
                assertEquals(outcome.result(), FoldResult.INVALID, text);
                assertTrue(!outcome.findings().isEmpty(), text);
            }
        }

        /** Guards against sections growing beyond what one record and one frame can hold. */
        @Test
        public void largeEntriesAndSectionsAreRejected() {
            String longName = "n".repeat(Section.MAXIMUM_ENTRY_BYTES);
            ConfigurationFold fold = new ConfigurationFold();
            FoldOutcome entry = fold.fold(1, 1, put("owners", "billing", 0, longName, 1));
            assertEquals(entry.result(), FoldResult.INVALID);
            FoldResult last = FoldResult.ACCEPTED;
            int accepted = 0;
            while (last == FoldResult.ACCEPTED) {
                String name = longName.substring(20) + accepted;
                long version = fold.version("owners").version();
                last = fold.fold(fold.offset() + 1, 1, put("owners", "billing", version, name, 1))
                        .result();
                accepted += last == FoldResult.ACCEPTED ? 1 : 0;
            }
            assertEquals(last, FoldResult.INVALID);
            assertEquals(accepted, 4);
        }

        /** Guards against unchanged entries being parsed again for each change. */
        @Test
        public void unchangedEntriesKeepTheirObjects() {
            ConfigurationFold fold = fold(put("owners", "billing", 0, "a", 1));
            Owner before = fold.configuration().owners().get("a");
            fold.fold(2, 2, put("owners", "billing", 1, "b", 1));
            assertTrue(fold.configuration().owners().get("a") == before);
        }
    }

    public static final class Retention {

        /** Guards against a reader that starts in the middle of the log applying a change without its base. */
        @Test
        public void changeWithoutBaseWaitsForASnapshot() {
            ConfigurationFold fold = new ConfigurationFold();
            fold.startAt(10);
            assertEquals(fold.fold(10, 10, put("owners", "billing", 5, "b", 1)).result(), FoldResult.PENDING);
            assertNull(fold.section("owners"));
            fold.markLogEndReached();
            assertNull(fold.section("owners"));
            fold.fold(11, 11, new SectionSnapshot("owners", "billing", 5, Map.of("a", "{\"weight\": 1}")));
            assertEquals(fold.version("owners"), new SectionVersion(10, "billing"));
            assertEquals(fold.configuration().owners().size(), 2);
        }

        /** Guards against a rejected first change becoming the base of a section that existed before. */
        @Test
        public void firstChangeDoesNotReplaceASectionWhoseSnapshotFollows() {
            ConfigurationFold fold = new ConfigurationFold();
            fold.startAt(10);
            fold.fold(10, 10, put("owners", "intruders", 0, "b", 1));
            fold.fold(11, 11, new SectionSnapshot("owners", "billing", 5, Map.of("a", "{\"weight\": 1}")));
            fold.markLogEndReached();
            assertEquals(fold.version("owners"), new SectionVersion(5, "billing"));
        }

        /** Guards against a section that was created after the first retained record never appearing. */
        @Test
        public void firstChangeBecomesTheBaseAtTheLogEndWithoutSnapshot() {
            ConfigurationFold fold = new ConfigurationFold();
            fold.startAt(10);
            fold.fold(10, 10, put("owners", "billing", 0, "a", 1));
            fold.fold(11, 11, put("owners", "billing", 10, "b", 1));
            fold.fold(12, 12, put("rules", "billing", 7, "attempts", 1));
            fold.markLogEndReached();
            assertEquals(fold.version("owners"), new SectionVersion(11, "billing"));
            assertEquals(fold.pendingChanges().size(), 1);
        }

        /**
         * Guards against a rejected change being accepted on top of a snapshot that was out of date when it was
         * appended.
         */
        @Test
        public void newestSnapshotIsTheBase() {
            ConfigurationFold fold = new ConfigurationFold();
            fold.startAt(17);
            fold.fold(18, 18, put("owners", "billing", 9, "loser", 1));
            fold.fold(22, 22, new SectionSnapshot("owners", "billing", 9, Map.of()));
            fold.fold(25, 25, new SectionSnapshot("owners", "billing", 16, Map.of("a", "{\"weight\": 1}")));
            fold.markLogEndReached();
            assertEquals(fold.version("owners"), new SectionVersion(16, "billing"));
        }

        /** Guards against a late snapshot of an old version counting as the newest one. */
        @Test
        public void staleSnapshotDoesNotCountAsTheNewest() {
            ConfigurationFold fold = fold(put("owners", "billing", 0, "a", 1));
            fold.fold(2, 2, put("owners", "billing", 1, "b", 1));
            fold.fold(3, 3, new SectionSnapshot("owners", "billing", 1, Map.of("a", "{\"weight\": 1}")));
            assertEquals(fold.sectionsWithSnapshotBefore(2), List.of("owners"));
            fold.fold(4, 4, fold.snapshotOf("owners"));
            assertEquals(fold.sectionsWithSnapshotBefore(4), List.of());
        }
    }

    /** Readers of one random log that start in different ways. */
    public static final class Schedules {

        private static final int SCHEDULES = 400;
        private static final int RECORDS = 60;
        private static final List<String> SECTIONS = List.of("owners", "customers.a", "rules");

        /** Guards against readers of the same log that disagree, and against versions that decrease. */
        @Test
        public void readersAgreeWhereverTheyStart() {
            for (int seed = 0; seed < SCHEDULES; seed++) {
                Random random = new Random(seed);
                List<ConfigurationRecord> log = log(random);
                ConfigurationFold whole = new ConfigurationFold();
                read(whole, log, 1, RECORDS);
                long oldestCopy = whole.sectionStates().stream()
                        .mapToLong(SectionState::copiedAtMillis)
                        .min()
                        .orElse(1);
                int first = 1 + random.nextInt((int) oldestCopy);

                ConfigurationFold late = new ConfigurationFold();
                read(late, log, first, RECORDS);
                late.markLogEndReached();
                assertEquals(contents(late), contents(whole), "started at " + first + ", seed " + seed);

                ConfigurationFold withGap = new ConfigurationFold();
                read(withGap, log, 1, random.nextInt(first));
                read(withGap, log, first, RECORDS);
                withGap.markLogEndReached();
                assertEquals(contents(withGap), contents(whole), "gap before " + first + ", seed " + seed);

                ConfigurationFold fromPeer = new ConfigurationFold();
                ConfigurationFold peer = new ConfigurationFold();
                read(fromPeer, log, 1, random.nextInt(first));
                int through = random.nextInt(RECORDS);
                read(peer, log, 1, through);
                fromPeer.applyPeerState(through, peer.sectionStates(), peer.pendingChanges());
                read(fromPeer, log, (int) fromPeer.offset() + 1, RECORDS);
                assertEquals(contents(fromPeer), contents(whole), "adopted through " + through + ", seed " + seed);
            }
        }

        private static void read(ConfigurationFold fold, List<ConfigurationRecord> log, int first, int last) {
            fold.startAt(first);
            Map<String, Long> versions = new HashMap<>();
            for (int offset = first; offset <= last; offset++) {
                fold.fold(offset, offset, log.get(offset - 1));
                for (SectionState state : fold.sectionStates()) {
                    Long before = versions.put(state.section(), state.version());
                    assertTrue(before == null || before <= state.version(), "version of " + state.section());
                }
            }
        }

        private static Map<String, List<Object>> contents(ConfigurationFold fold) {
            Map<String, List<Object>> contents = new HashMap<>();
            fold.sectionStates()
                    .forEach(state ->
                            contents.put(state.section(), List.of(state.team(), state.version(), state.entries())));
            return contents;
        }

        private static List<ConfigurationRecord> log(Random random) {
            List<ConfigurationRecord> log = new ArrayList<>();
            List<ConfigurationFold> views = new ArrayList<>();
            for (int editor = 0; editor < 3; editor++) {
                views.add(new ConfigurationFold());
            }
            while (log.size() < RECORDS) {
                ConfigurationFold view = views.get(random.nextInt(views.size()));
                // Editors and snapshot writers act on views of different ages.
                read(
                        view,
                        log,
                        (int) view.offset() + 1,
                        (int) view.offset() + random.nextInt(log.size() + 1 - (int) view.offset()));
                String section = SECTIONS.get(random.nextInt(SECTIONS.size()));
                boolean isSnapshot = random.nextInt(4) == 0 && view.section(section) != null;
                log.add(isSnapshot ? view.snapshotOf(section) : change(random, view, section));
            }
            return log;
        }

        private static SectionChange change(Random random, ConfigurationFold view, String section) {
            SectionVersion version = view.version(section);
            long replaces = random.nextInt(8) == 0 ? 0 : version.version();
            String team = random.nextInt(8) == 0 || version.team().isEmpty() ? "t" + random.nextInt(2) : version.team();
            int number = random.nextInt(9);
            Map<String, String> put =
                    switch (section) {
                        case "owners" -> Map.of("o" + number, "{\"weight\": " + number + "}");
                        case "rules" -> Map.of("attempts", "" + number);
                        default -> Map.of("c" + number, "{\"owner\": \"o1\", \"priority\": " + (number + 2) + "}");
                    };
            List<String> remove = random.nextInt(4) == 0 ? List.of("o" + random.nextInt(9)) : List.of();
            return new SectionChange(section, team, replaces, "c" + random.nextInt(), "author", put, remove);
        }
    }

    public static final class Places {

        /** Guards against a withdrawal that allows work, or that outlives a newer version of the section on the log. */
        @Test
        public void withdrawalOnlyRestrictsUntilAHigherVersion() {
            SectionChange in =
                    new SectionChange("availability.dc", "ops", 0, "c", "a", Map.of("dataCentre", "\"in\""), List.of());
            Configuration known = fold(in).configuration();
            assertNotNull(known.dataCentreAvailability().get("dc"));
            Withdrawal current = new Withdrawal(PlaceKind.DATA_CENTRE, "dc", 1);
            Withdrawal old = new Withdrawal(PlaceKind.DATA_CENTRE, "dc", 0);
            assertTrue(known.takesNewWork("dc", "vm"));
            assertTrue(!known.withWithdrawals(List.of(current)).takesNewWork("dc", "vm"));
            assertTrue(known.withWithdrawals(List.of(old)).takesNewWork("dc", "vm"));
        }
    }
}
