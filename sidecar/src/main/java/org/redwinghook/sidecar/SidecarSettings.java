package org.redwinghook.sidecar;

import java.util.List;

import io.vavr.control.Either;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.document.Finding;
import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.settings.ProcessSettings;

/**
 * Settings of a sidecar.
 *
 * @param shared settings that all processes have
 * @param service service of the endpoint
 * @param kind kind of the service
 * @param endpoint address of the endpoint
 * @param concurrency maximum number of concurrent requests at the warm endpoint
 * @param memoryTokens capacity of the engine's memory in tokens; 0 for no limit
 */
public record SidecarSettings(
        ProcessSettings shared, String service, ServiceKind kind, Address endpoint, int concurrency, int memoryTokens) {

    private static final int MAXIMUM_CONCURRENCY = 10_000;
    private static final int MAXIMUM_MEMORY_TOKENS = 100_000_000;
    private static final int DEFAULT_CONCURRENCY = 32;

    /**
     * Parses and validates the settings.
     *
     * @param file file name reported in findings
     * @param text YAML document
     * @return the settings, or all findings if they are invalid
     */
    public static Either<List<Finding>, SidecarSettings> read(String file, String text) {
        Findings findings = new Findings();
        YamlMap root = YamlMap.parse(file, text, findings);
        SidecarSettings settings = new SidecarSettings(
                ProcessSettings.read(root),
                root.text("service"),
                root.choice("kind", ServiceKind.class, ServiceKind.ENGINE),
                Address.read(root.requiredMap("endpoint")),
                (int) root.number("concurrency", 1, MAXIMUM_CONCURRENCY, DEFAULT_CONCURRENCY),
                (int) root.number("memoryTokens", 0, MAXIMUM_MEMORY_TOKENS, 0));
        root.rejectUnknownKeys();
        return findings.resultOf(settings);
    }
}
