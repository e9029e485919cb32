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
 * Settings of a router that forwards by routes.
 *
 * @param process name of the process, unique in the deployment
 * @param dataCentre data centre of its VM
 * @param regions region of each data centre
 * @param caller where callers connect
 * @param ready where the balancer asks whether the router takes requests
 * @param readyPath path of that question
 * @param peer where other routers connect
 * @param admin where operators connect
 * @param store the platform's store
 * @param stopMillis time between the signal to stop and the end of the process, in milliseconds
 * @param retryShare repeated requests of a service as a share of its requests
 * @param retrySlack repeated requests of a service that all routers together may always send in ten seconds
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

    private static final long LONGEST_STOP_MILLIS = 600_000;
    private static final long MOST_SLACK = 1_000_000;

    public ForwardingSettings {
        regions = Map.copyOf(regions);
    }

    /**
     * Reads the settings.
     *
     * @param file name for findings
     * @param text the document
     * @return the settings, or all findings
     */
    public static Either<List<Finding>, ForwardingSettings> read(String file, String text) {
        Findings findings = new Findings();
        YamlMap top = YamlMap.parse(file, text, findings);
        YamlMap places = top.requiredMap("regions");
        Map<String, String> regions = new HashMap<>();
        places.keys().forEach(name -> regions.put(name, places.text(name)));
        YamlMap retries = top.map("retries");
        ForwardingSettings settings = new ForwardingSettings(
                top.text("process"),
                top.text("dataCentre"),
                regions,
                Address.readText(top, "caller"),
                Address.readText(top, "ready"),
                top.text("readyPath", "/ready"),
                Address.readText(top, "peer"),
                Address.readText(top, "admin"),
                Address.readText(top, "store"),
                top.number("stopMillis", 1, LONGEST_STOP_MILLIS),
                retries.decimal("share", 0, 1, 0),
                (int) retries.number("slack", 0, MOST_SLACK, 0));
        retries.rejectUnknownKeys();
        top.rejectUnknownKeys();
        return findings.resultOf(settings);
    }
}
