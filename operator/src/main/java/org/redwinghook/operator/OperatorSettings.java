package org.redwinghook.operator;

import java.util.List;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.document.Finding;
import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;
import org.redwinghook.runtime.settings.Address;

/**
 * Addresses of the platform's services that commands use.
 *
 * @param log log service, null if not set
 * @param vmList VM list, null if not set
 */
public record OperatorSettings(
        @Nullable Address log, @Nullable Address vmList) {

    /** Settings without addresses. */
    public static final OperatorSettings EMPTY = new OperatorSettings(null, null);

    /**
     * Reads a settings file with the mappings {@code log} and {@code vmList}.
     *
     * @param file name of the file, for findings
     * @param text YAML document
     * @return the settings, or all findings
     */
    public static Either<List<Finding>, OperatorSettings> read(String file, String text) {
        Findings findings = new Findings();
        YamlMap top = YamlMap.parse(file, text, findings);
        OperatorSettings settings = new OperatorSettings(readAddress(top, "log"), readAddress(top, "vmList"));
        top.rejectUnknownKeys();
        return findings.resultOf(settings);
    }

    private static @Nullable Address readAddress(YamlMap top, String key) {
        return top.has(key) ? Address.read(top.requiredMap(key)) : null;
    }
}
