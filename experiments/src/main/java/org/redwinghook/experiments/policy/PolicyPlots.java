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

/** Bar charts of the four measures as PNG files. */
final class PolicyPlots {

    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 500;

    private final Path directory;

    PolicyPlots(Path directory) {
        this.directory = directory;
    }

    void write(Map<Deployment, Map<Policy, Measurements>> results) throws IOException {
        Files.createDirectories(directory);
        draw("stall-time", "Stall time (s)", results, Measurements::stallSeconds);
        draw("preemptions", "Preemptions", results, Measurements::preemptions);
        draw("gap-p95", "95th percentile between tokens (ms)", results, result -> result.gapMillis(95));
        draw("service-during-move", "Served within 0.87 s during the move (%)", results, result -> result.move()
                .onTimePercent());
    }

    private void draw(
            String file,
            String title,
            Map<Deployment, Map<Policy, Measurements>> results,
            ToDoubleFunction<Measurements> measure)
            throws IOException {
        DefaultCategoryDataset bars = new DefaultCategoryDataset();
        results.forEach((deployment, policies) -> policies.forEach(
                (policy, result) -> bars.addValue(measure.applyAsDouble(result), deployment.title(), policy.title())));
        ChartUtils.saveChartAsPNG(
                directory.resolve(file + ".png").toFile(),
                ChartFactory.createBarChart(title, "policy", title, bars, PlotOrientation.VERTICAL, true, false, false),
                WIDTH_PIXELS,
                HEIGHT_PIXELS);
    }
}
