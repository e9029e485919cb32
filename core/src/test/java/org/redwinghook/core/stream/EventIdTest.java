package org.redwinghook.core.stream;

import java.util.List;
import java.util.Optional;

import org.quicktheories.QuickTheory;
import org.quicktheories.generators.SourceDSL;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against resuming at the wrong VM or position. */
public class EventIdTest {

    @Test
    public void parsesItsOwnText() {
        QuickTheory.qt()
                .forAll(
                        SourceDSL.strings().basicLatinAlphabet().ofLengthBetween(1, 12),
                        SourceDSL.longs().between(0, Integer.MAX_VALUE))
                .checkAssert((vm, sequence) -> {
                    EventId written = new EventId(vm + ".1f.7", sequence);
                    Assert.assertEquals(EventId.parse(written.toString()), Optional.of(written));
                    Assert.assertEquals(written.vm(), vm);
                });
    }

    @Test
    public void findsVmWithDotsInItsName() {
        Assert.assertEquals(new EventId("vm.eu.3.1f.7", 2).vm(), "vm.eu.3");
    }

    @Test
    public void rejectsInvalidTexts() {
        for (String text : List.of(
                "", "7", "vm.1", "vm.1.2", "vm.1.2.", "vm.1.2.-1", "vm.1.2.x", "..1.2", "a.1.2." + "9".repeat(30))) {
            Assert.assertTrue(EventId.parse(text).isEmpty(), text);
        }
    }
}
