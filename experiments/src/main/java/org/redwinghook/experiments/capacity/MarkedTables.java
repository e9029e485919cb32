package org.redwinghook.experiments.capacity;

/** Replaces the tables between the markers {@code <!-- table:NAME -->} and {@code <!-- /table:NAME -->} of a page. */
public final class MarkedTables {

    private MarkedTables() {}

    /**
     * Replaces one table and leaves the rest of the page unchanged.
     *
     * @param page text of the page
     * @param name name of the table
     * @param table the new table
     * @return text of the page with the new table
     */
    public static String replace(String page, String name, String table) {
        String startMarker = "<!-- table:" + name + " -->";
        String endMarker = "<!-- /table:" + name + " -->";
        int startIndex = page.indexOf(startMarker);
        int endIndex = page.indexOf(endMarker);
        if (startIndex < 0 || endIndex < startIndex) {
            throw new IllegalArgumentException(
                    "page lacks markers " + startMarker + " and " + endMarker + " in this order");
        }
        if (page.indexOf(startMarker, startIndex + 1) >= 0) {
            throw new IllegalArgumentException("page contains marker " + startMarker + " twice");
        }
        return page.substring(0, startIndex + startMarker.length()) + "\n" + table.strip() + "\n"
                + page.substring(endIndex);
    }
}
