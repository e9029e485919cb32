package org.redwinghook.experiments.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;

/** Writes bar charts of the four measures as PNG files. */
final class PolicyPlots {

    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 500;

    private final Path directory;

    PolicyPlots(Path directory) {
        this.directory = directory;
    }

    void write(Map<Deployment, Map<Policy, Measurements>> results) throws IOException {
        Files.createDirectories(directory);
        writeChart("stall-time", "Stall time (s)", results, Measurements::stallSeconds);
        writeChart("preemptions", "Preemptions", results, Measurements::preemptions);
        writeChart("gap-p95", "95th percentile between tokens (ms)", results, result -> result.tokenGapMillis(95));
        writeChart(
                "service-during-move",
                "Served within 0.87 s during the move (%)",
                results,
                result -> result.duringMove().onTimePercent());
    }

    private void writeChart(
            String name,
            String title,
            Map<Deployment, Map<Policy, Measurements>> results,
            ToDoubleFunction<Measurements> measure)
            throws IOException {
        DefaultCategoryDataset dataset = new DefaultCategoryDataset();
        results.forEach((deployment, policies) -> policies.forEach((policy, result) ->
                dataset.addValue(measure.applyAsDouble(result), deployment.title(), policy.title())));
        ChartUtils.saveChartAsPNG(
                directory.resolve(name + ".png").toFile(),
                ChartFactory.createBarChart(
                        title, "policy", title, dataset, PlotOrientation.VERTICAL, true, false, false),
                WIDTH_PIXELS,
                HEIGHT_PIXELS);
    }
}
