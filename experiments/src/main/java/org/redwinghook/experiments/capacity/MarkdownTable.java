package org.redwinghook.experiments.capacity;

import java.util.List;
import java.util.Locale;

/** A table in Markdown. */
public final class MarkdownTable {

    private static final double SMALL = 0.001;
    private static final double LARGE = 100;

    private final StringBuilder text = new StringBuilder();

    /**
     * Creates a table without rows.
     *
     * @param headings headings of the columns
     */
    public MarkdownTable(List<String> headings) {
        row(headings);
        row(headings.stream().map(ignored -> "---").toList());
    }

    /**
     * Adds a row.
     *
     * @param cells one text for each column
     */
    public void row(List<String> cells) {
        text.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    /**
     * Formats a number with as many digits as matter.
     *
     * @param value the number
     * @return its text
     */
    public static String number(double value) {
        double size = Math.abs(value);
        if (size >= LARGE) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        if (size >= 1) {
            return String.format(Locale.ROOT, "%.1f", value);
        }
        return String.format(Locale.ROOT, size != 0 && size < SMALL ? "%.1e" : "%.3f", value);
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
