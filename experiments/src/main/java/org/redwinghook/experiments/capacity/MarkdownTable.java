package org.redwinghook.experiments.capacity;

import java.util.List;
import java.util.Locale;

/** A table in Markdown. */
public final class MarkdownTable {

    private static final double SCIENTIFIC_NOTATION_LIMIT = 0.001;
    private static final double WHOLE_NUMBER_LIMIT = 100;

    private final StringBuilder text = new StringBuilder();

    /**
     * Creates a table without rows.
     *
     * @param headings headings of the columns
     */
    public MarkdownTable(List<String> headings) {
        addRow(headings);
        addRow(headings.stream().map(ignored -> "---").toList());
    }

    /**
     * Adds a row.
     *
     * @param cells one text for each column
     */
    public void addRow(List<String> cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    /**
     * Formats a number with as many digits as matter.
     *
     * @param value the number
     * @return its text
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
