package org.redwinghook.runtime.settings;

import org.redwinghook.core.document.YamlMap;

/**
 * Settings that routers and sidecars have in common.
 *
 * @param process name of the process, unique in the deployment; the name of its VM
 * @param dataCentre data centre of the VM
 * @param peer address on which the process accepts connections of other processes
 * @param admin address on which the process accepts operators' requests
 * @param log address of the log service
 * @param vmList address of the VM list
 * @param logRetentionMillis time for which the log service retains records, in milliseconds
 * @param drainTimeoutMillis time after which a graceful stop cancels the work in progress, in milliseconds; 0 for
 *     no limit
 */
public record ProcessSettings(
        String process,
        String dataCentre,
        Address peer,
        Address admin,
        Address log,
        Address vmList,
        long logRetentionMillis,
        long drainTimeoutMillis) {

    private static final long MAXIMUM_DRAIN_MILLIS = 86_400_000;
    private static final long MINIMUM_RETENTION_MILLIS = 60_000;
    private static final long DEFAULT_RETENTION_MILLIS = 604_800_000;
    private static final long MAXIMUM_RETENTION_MILLIS = 31_536_000_000L;

    /**
     * Reads the common settings from the root of a settings document.
     *
     * @param root the root mapping
     * @return the settings
     */
    public static ProcessSettings read(YamlMap root) {
        YamlMap platform = root.requiredMap("platform");
        ProcessSettings settings = new ProcessSettings(
                root.text("process"),
                root.text("dataCentre"),
                Address.read(root.requiredMap("peer")),
                Address.read(root.requiredMap("admin")),
                Address.read(platform.requiredMap("log")),
                Address.read(platform.requiredMap("vmList")),
                platform.number(
                        "logRetentionMillis",
                        MINIMUM_RETENTION_MILLIS,
                        MAXIMUM_RETENTION_MILLIS,
                        DEFAULT_RETENTION_MILLIS),
                root.number("drainTimeoutMillis", 0, MAXIMUM_DRAIN_MILLIS, 0));
        platform.rejectUnknownKeys();
        return settings;
    }
}
