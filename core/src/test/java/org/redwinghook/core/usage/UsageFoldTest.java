package org.redwinghook.core.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.quicktheories.QuickTheory;
import org.quicktheories.generators.SourceDSL;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against work that is billed twice, billed to the wrong owner or not at all. */
public class UsageFoldTest {

    /** Guards against repeated and outdated records that change the bill. */
    @Test
    public void duplicateRecordsHaveNoEffect() {
        QuickTheory.qt().withExamples(200).forAll(SourceDSL.integers().all()).checkAssert(seed -> {
            Random random = new Random(seed);
            UsageFold fold = new UsageFold();
            List<UsageRecord> appended = new ArrayList<>();
            long expected = 0;
            for (int process = 0; process < 3; process++) {
                UsageLedger ledger = new UsageLedger("process", process);
                for (int step = 0; step < 10; step++) {
                    long tokens = random.nextInt(100);
                    expected += tokens;
                    ledger.add(key("owner", "customer-" + random.nextInt(3)), UsageCounts.generation(1, tokens));
                    if (random.nextBoolean() || step == 9) {
                        UsageRecord record = ledger.nextRecord().orElseThrow();
                        appended.add(record);
                        fold.add(record);
                    }
                    fold.add(appended.isEmpty() ? emptyRecord() : appended.get(random.nextInt(appended.size())));
                }
            }
            UsageCounts bill = fold.billByOwner(UsageSide.ROUTER).get("owner");
            Assert.assertEquals(bill.outputTokens(), expected);
            Assert.assertEquals(bill.generations(), 30);
        });
    }

    /** Guards against records that always contain all counts, and against full records that are never written. */
    @Test
    public void recordsHoldChangesAndPeriodicallyAllCounts() {
        UsageLedger ledger = new UsageLedger("process", 1);
        ledger.add(key("owner", "idle"), UsageCounts.call());
        int full = 0;
        for (int record = 1; record <= 400; record++) {
            ledger.add(key("owner", "busy"), UsageCounts.call());
            int entries = ledger.nextRecord().orElseThrow().entries().size();
            full += record > 1 && entries == 2 ? 1 : 0;
        }
        Assert.assertEquals(full, 1);
        Assert.assertTrue(ledger.nextRecord().isEmpty());
    }

    /** Guards against usage billed to another owner, and against differences that are not reported. */
    @Test
    public void billsByOwnerAndFindsDifferences() {
        UsageLedger router = new UsageLedger("router", 1);
        UsageLedger sidecar = new UsageLedger("sidecar", 1);
        router.add(key("one", "a"), UsageCounts.generation(5, 10));
        sidecar.add(new UsageKey("one", "a", "service", UsageSide.ENDPOINT), UsageCounts.generation(5, 10));
        router.add(key("two", "b"), UsageCounts.interruption(5, 3));
        sidecar.add(new UsageKey("two", "b", "service", UsageSide.ENDPOINT), UsageCounts.generation(5, 20));
        UsageFold fold = new UsageFold();
        fold.add(router.nextRecord().orElseThrow());
        fold.add(sidecar.nextRecord().orElseThrow());
        Assert.assertEquals(fold.billByOwner(UsageSide.ROUTER).get("one"), UsageCounts.generation(5, 10));
        Assert.assertEquals(fold.billByOwner(UsageSide.ENDPOINT).get("two"), UsageCounts.generation(5, 20));
        List<UsageDifference> differences = fold.reconcile();
        Assert.assertEquals(differences.size(), 1);
        Assert.assertEquals(differences.get(0).customer(), "b");
        Assert.assertEquals(differences.get(0).undeliveredTokens(), 17);
    }

    private static UsageRecord emptyRecord() {
        return new UsageRecord("none", 0, 1, List.of());
    }

    private static UsageKey key(String owner, String customer) {
        return new UsageKey(owner, customer, "service", UsageSide.ROUTER);
    }
}
