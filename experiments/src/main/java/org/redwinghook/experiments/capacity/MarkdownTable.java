package org.redwinghook.experiments.capacity;

import java.util.List;
import java.util.Locale;

/** Builds a table in Markdown. */
public final class MarkdownTable {

    /** Magnitude below which numbers are in scientific notation. */
    private static final double SCIENTIFIC_NOTATION_LIMIT = 0.001;
    /** Magnitude from which numbers have no decimals. */
    private static final double WHOLE_NUMBER_LIMIT = 100;

    private final StringBuilder text = new StringBuilder();

    /**
     * Creates a table without rows.
     *
     * @param headings column headings
     */
    public MarkdownTable(List<String> headings) {
        addRow(headings);
        addRow(headings.stream().map(ignored -> "---").toList());
    }

    /**
     * Adds a row.
     *
     * @param cells cell texts, one for each column
     */
    public void addRow(List<String> cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    /**
     * Formats a number with a precision that depends on its magnitude.
     *
     * @param value the number
     * @return the formatted number
     */
    public static String formatNumber(double value) {
        double magnitude = Math.abs(value);
        if (magnitude >= WHOLE_NUMBER_LIMIT) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        if (magnitude >= 1) {
            return String.format(Locale.ROOT, "%.1f", value);
        }
        return String.format(
                Locale.ROOT, magnitude != 0 && magnitude < SCIENTIFIC_NOTATION_LIMIT ? "%.1e" : "%.3f", value);
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
