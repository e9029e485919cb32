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
        String start = "<!-- table:" + name + " -->";
        String end = "<!-- /table:" + name + " -->";
        int from = page.indexOf(start);
        int to = page.indexOf(end);
        if (from < 0 || to < from) {
            throw new IllegalArgumentException("the page has no markers " + start + " and " + end + " in this order");
        }
        if (page.indexOf(start, from + 1) >= 0) {
            throw new IllegalArgumentException("the page has the marker " + start + " twice");
        }
        return page.substring(0, from + start.length()) + "\n" + table.strip() + "\n" + page.substring(to);
    }
}
