package org.redwinghook.experiments.capacity;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a run that loses text of the page or writes a table to the wrong place. */
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

    /** Guards against changes outside the markers, and against markers that are lost with the old table. */
    @Test
    public void replacesOnlyTheNamedTable() {
        String expected = PAGE.replace("| old |", "| new |");
        String once = MarkedTables.replace(PAGE, "idle", "\n| new |\n\n");
        Assert.assertEquals(once, expected);
        Assert.assertEquals(MarkedTables.replace(once, "idle", "| new |"), expected);
    }

    /** Guards against a first table that is written nowhere because it had no lines to replace. */
    @Test
    public void fillsAnEmptyTable() {
        String filled = MarkedTables.replace(PAGE, "idle-more", "| first |");
        Assert.assertTrue(filled.endsWith("<!-- table:idle-more -->\n| first |\n<!-- /table:idle-more -->\n"));
        Assert.assertTrue(filled.contains("| old |"));
    }

    /** Guards against a table that silently disappears because its marker was misspelt. */
    @Test(expectedExceptions = IllegalArgumentException.class)
    public void refusesAMissingMarker() {
        MarkedTables.replace(PAGE, "target", "| new |");
    }

    /** Guards against text that is cut out between markers in the wrong order. */
    @Test(expectedExceptions = IllegalArgumentException.class)
    public void refusesMarkersInTheWrongOrder() {
        MarkedTables.replace("<!-- /table:a -->\ntext\n<!-- table:a -->\n", "a", "| new |");
    }

    /** Guards against figures of an old run that stay in a second copy of a table. */
    @Test(expectedExceptions = IllegalArgumentException.class)
    public void refusesADuplicateMarker() {
        MarkedTables.replace(PAGE + PAGE, "idle", "| new |");
    }
}
