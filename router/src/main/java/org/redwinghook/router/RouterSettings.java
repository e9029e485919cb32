package org.redwinghook.router;

import java.util.List;

import io.vavr.control.Either;
import org.redwinghook.core.document.Finding;
import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;
import org.redwinghook.router.endpoint.DeliveryTiming;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.settings.ProcessSettings;

/**
 * Settings of a router.
 *
 * @param shared settings common to all processes
 * @param caller address on which callers connect
 * @param requestTimeoutMillis maximum time until the first token or the answer of a request
 * @param settleMillis time at a shutdown during which new requests are still accepted, so that the load balancer can
 *     notice that the router is no longer ready
 * @param timing intervals and timeouts of connections and deliveries
 */
public record RouterSettings(
        ProcessSettings shared, Address caller, long requestTimeoutMillis, long settleMillis, DeliveryTiming timing) {

    private static final long MAXIMUM_TIMEOUT_MILLIS = 3_600_000;
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;
    private static final long DEFAULT_SETTLE_MILLIS = 5_000;

    /**
     * Reads the settings from a YAML document.
     *
     * @param file file name for the findings
     * @param text content of the document
     * @return the settings, or all findings
     */
    public static Either<List<Finding>, RouterSettings> read(String file, String text) {
        Findings findings = new Findings();
        YamlMap root = YamlMap.parse(file, text, findings);
        RouterSettings settings = new RouterSettings(
                ProcessSettings.read(root),
                Address.read(root.requiredMap("caller")),
                root.number("requestTimeoutMillis", 1, MAXIMUM_TIMEOUT_MILLIS, DEFAULT_TIMEOUT_MILLIS),
                root.number("settleMillis", 0, MAXIMUM_TIMEOUT_MILLIS, DEFAULT_SETTLE_MILLIS),
                DeliveryTiming.read(root.map("timing")));
        root.rejectUnknownKeys();
        return findings.resultOf(settings);
    }
}
