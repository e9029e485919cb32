package org.redwinghook.experiments.capacity;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.redwinghook.core.message.ProcessRole;

/** Markdown tables of the control costs: idle processes, measured points, fitted slopes and growth at target size. */
public final class ControlReport {

    private static final int MINIMUM_POINTS = 3;

    private final ControlCosts.Result result;

    /**
     * Creates a report.
     *
     * @param result measured costs
     */
    public ControlReport(ControlCosts.Result result) {
        this.result = result;
    }

    /**
     * Creates all tables.
     *
     * @return tables by the name of their markers
     */
    public Map<String, String> tables() {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("idle", idleTable().toString());
        tables.put("points", pointTable().toString());
        tables.put("slopes", slopeTable().toString());
        tables.put("target", targetTable().toString());
        return tables;
    }

    private MarkdownTable idleTable() {
        MarkdownTable table = new MarkdownTable(headings("role"));
        result.idleCosts()
                .forEach((role, cost) -> table.addRow(cells(cost, role.name().toLowerCase(java.util.Locale.ROOT))));
        return table;
    }

    private MarkdownTable pointTable() {
        MarkdownTable table = new MarkdownTable(headings("role", "size"));
        result.growth()
                .forEach((series, points) -> points.forEach((size, cost) ->
                        table.addRow(cells(cost, roleName(series), "%,d %s".formatted(size, series.label())))));
        return table;
    }

    private MarkdownTable slopeTable() {
        MarkdownTable table = new MarkdownTable(
                List.of("role", "for each", "metric", "slope", "R²", "points", "target size", "growth at target"));
        for (Series series : Series.values()) {
            for (Map.Entry<Metric, LinearFit> entry : fitMetrics(series).entrySet()) {
                LinearFit fit = entry.getValue();
                table.addRow(List.of(
                        roleName(series),
                        "1 of " + series.label(),
                        entry.getKey().label(),
                        MarkdownTable.formatNumber(fit.slope()),
                        "%.3f".formatted(fit.determination()),
                        Integer.toString(series.sizes().size()),
                        MarkdownTable.formatNumber(series.targetSize()),
                        MarkdownTable.formatNumber(fit.growth(series.targetSize()))));
            }
        }
        return table;
    }

    private MarkdownTable targetTable() {
        MarkdownTable table = new MarkdownTable(List.of("role", "metric", "growth at target", "budget", "verdict"));
        for (ProcessRole role : ProcessRole.values()) {
            for (Metric metric : Metric.values()) {
                double growth = growthAtTarget(role, metric);
                table.addRow(List.of(
                        role.name().toLowerCase(java.util.Locale.ROOT),
                        metric.label(),
                        MarkdownTable.formatNumber(growth),
                        Double.isInfinite(metric.budget()) ? "" : MarkdownTable.formatNumber(metric.budget()),
                        metric.verdict(growth)));
            }
        }
        return table;
    }

    private double growthAtTarget(ProcessRole role, Metric metric) {
        double sum = 0;
        for (Series series : Series.values()) {
            LinearFit fit = fitMetrics(series).get(metric);
            if (series.role() == role && fit != null) {
                sum += fit.growth(series.targetSize());
            }
        }
        return sum;
    }

    private Map<Metric, LinearFit> fitMetrics(Series series) {
        Map<Metric, LinearFit> fits = new EnumMap<>(Metric.class);
        SortedMap<Integer, Cost> points = result.growth().get(series);
        if (points == null || points.size() < MINIMUM_POINTS) {
            return fits;
        }
        for (Metric metric : Metric.values()) {
            SortedMap<Double, Double> values = new TreeMap<>();
            points.forEach((size, cost) -> values.put((double) size, metric.valueIn(cost)));
            fits.put(metric, LinearFit.of(values));
        }
        return fits;
    }

    private static String roleName(Series series) {
        return series.role().name().toLowerCase(java.util.Locale.ROOT);
    }

    private static List<String> headings(String... first) {
        List<String> headings = new ArrayList<>(List.of(first));
        for (Metric metric : Metric.values()) {
            headings.add(metric.label());
        }
        return headings;
    }

    private static List<String> cells(Cost cost, String... first) {
        List<String> cells = new ArrayList<>(List.of(first));
        for (Metric metric : Metric.values()) {
            cells.add(MarkdownTable.formatNumber(metric.valueIn(cost)));
        }
        return cells;
    }
}
