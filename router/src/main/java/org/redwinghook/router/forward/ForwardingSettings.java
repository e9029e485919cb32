package org.redwinghook.router.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.redwinghook.core.document.Finding;
import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;
import org.redwinghook.runtime.settings.Address;

/**
 * Settings of a router that forwards requests by route.
 *
 * @param process name of the process, unique in the deployment
 * @param dataCentre data centre of the router's VM
 * @param regions region of each data centre
 * @param caller address for callers
 * @param ready address for the load balancer's readiness checks
 * @param readyPath path of the readiness checks
 * @param peer address for other routers
 * @param admin address for operators
 * @param store address of the platform's store
 * @param stopMillis time between the stop signal and the end of the process, in milliseconds
 * @param retryShare retries of a service as a share of its requests
 * @param retrySlack retries of a service that all routers together may always send in ten seconds
 */
public record ForwardingSettings(
        String process,
        String dataCentre,
        Map<String, String> regions,
        Address caller,
        Address ready,
        String readyPath,
        Address peer,
        Address admin,
        Address store,
        long stopMillis,
        double retryShare,
        int retrySlack) {

    private static final long MAXIMUM_STOP_MILLIS = 600_000;
    private static final long MAXIMUM_RETRY_SLACK = 1_000_000;

    public ForwardingSettings {
        regions = Map.copyOf(regions);
    }

    /**
     * Reads the settings.
     *
     * @param file file name for findings
     * @param text the YAML document
     * @return the settings, or all findings
     */
    public static Either<List<Finding>, ForwardingSettings> read(String file, String text) {
        Findings findings = new Findings();
        YamlMap root = YamlMap.parse(file, text, findings);
        YamlMap regionsMap = root.requiredMap("regions");
        Map<String, String> regions = new HashMap<>();
        regionsMap.keys().forEach(name -> regions.put(name, regionsMap.text(name)));
        YamlMap retries = root.map("retries");
        ForwardingSettings settings = new ForwardingSettings(
                root.text("process"),
                root.text("dataCentre"),
                regions,
                Address.readText(root, "caller"),
                Address.readText(root, "ready"),
                root.text("readyPath", "/ready"),
                Address.readText(root, "peer"),
                Address.readText(root, "admin"),
                Address.readText(root, "store"),
                root.number("stopMillis", 1, MAXIMUM_STOP_MILLIS),
                retries.decimal("share", 0, 1, 0),
                (int) retries.number("slack", 0, MAXIMUM_RETRY_SLACK, 0));
        retries.rejectUnknownKeys();
        root.rejectUnknownKeys();
        return findings.resultOf(settings);
    }
}
