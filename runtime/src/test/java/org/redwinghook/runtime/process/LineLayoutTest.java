package org.redwinghook.runtime.process;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

import org.testng.Assert;
import org.testng.annotations.Test;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;

/** Guards against log lines with a wrong time. */
public class LineLayoutTest {

    private static final DateTimeFormatter EXPECTED =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    private static final long YEAR_2100_MILLIS = 4_102_444_800_000L;

    @Test
    public void timeMatchesTheCalendar() {
        qt().withExamples(2_000)
                .withFixedSeed(3)
                .forAll(longs().between(0, YEAR_2100_MILLIS))
                .checkAssert(millis -> {
                    StringBuilder line = new StringBuilder();
                    LineLayout.appendTime(line, millis);
                    Assert.assertEquals(line.toString(), EXPECTED.format(Instant.ofEpochMilli(millis)));
                });
    }
}
