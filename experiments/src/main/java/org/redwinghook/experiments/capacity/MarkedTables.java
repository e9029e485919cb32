package org.redwinghook.experiments.capacity;

/** Replaces tables of a page that stand between {@code <!-- table:NAME -->} and {@code <!-- /table:NAME -->}. */
public final class MarkedTables {

    private MarkedTables() {}

    /**
     * Replaces one table and keeps everything else.
     *
     * @param page text of the page
     * @param name name of the table
     * @param table the new lines
     * @return the new text of the page
     */
    public static String replace(String page, String name, String table) {
        String startMarker = "<!-- table:" + name + " -->";
        String endMarker = "<!-- /table:" + name + " -->";
        int startIndex = page.indexOf(startMarker);
        int endIndex = page.indexOf(endMarker);
        if (startIndex < 0 || endIndex < startIndex) {
            throw new IllegalArgumentException(
                    "the page has no markers " + startMarker + " and " + endMarker + " in this order");
        }
        if (page.indexOf(startMarker, startIndex + 1) >= 0) {
            throw new IllegalArgumentException("the page has the marker " + startMarker + " twice");
        }
        return page.substring(0, startIndex + startMarker.length()) + "\n" + table.strip() + "\n"
                + page.substring(endIndex);
    }
}
