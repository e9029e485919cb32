package org.redwinghook.experiments.capacity;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a replacement that loses text of the page or writes a table to the wrong place. */
public class MarkedTablesTest {

    private static final String PAGE = """
            Before.

            <!-- table:idle -->
            | old |
            <!-- /table:idle -->

            Between.

            <!-- table:idle-more -->
            <!-- /table:idle-more -->
            """;

    /** Guards against changes outside the markers, and against markers that are removed with the old table. */
    @Test
    public void replacesOnlyTheNamedTable() {
        String expected = PAGE.replace("| old |", "| new |");
        String once = MarkedTables.replace(PAGE, "idle", "\n| new |\n\n");
        Assert.assertEquals(once, expected);
        Assert.assertEquals(MarkedTables.replace(once, "idle", "| new |"), expected);
    }

    /** Guards against a table that is not written because there are no lines between its markers yet. */
    @Test
    public void fillsAnEmptyTable() {
        String filled = MarkedTables.replace(PAGE, "idle-more", "| first |");
        Assert.assertTrue(filled.endsWith("<!-- table:idle-more -->\n| first |\n<!-- /table:idle-more -->\n"));
        Assert.assertTrue(filled.contains("| old |"));
    }

    /** Guards against a table that is silently dropped because its marker is misspelt. */
    @Test(expectedExceptions = IllegalArgumentException.class)
    public void refusesAMissingMarker() {
        MarkedTables.replace(PAGE, "target", "| new |");
    }

    /** Guards against the loss of text between markers in the wrong order. */
    @Test(expectedExceptions = IllegalArgumentException.class)
    public void refusesMarkersInTheWrongOrder() {
        MarkedTables.replace("<!-- /table:a -->\ntext\n<!-- table:a -->\n", "a", "| new |");
    }

    /** Guards against figures of an earlier run that remain in a second copy of a table. */
    @Test(expectedExceptions = IllegalArgumentException.class)
    public void refusesADuplicateMarker() {
        MarkedTables.replace(PAGE + PAGE, "idle", "| new |");
    }
}
