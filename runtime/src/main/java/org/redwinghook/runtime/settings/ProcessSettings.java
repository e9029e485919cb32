package org.redwinghook.runtime.settings;

import org.redwinghook.core.document.YamlMap;

/**
 * Settings that routers and sidecars share.
 *
 * @param process name of the process, unique in the deployment; the name of its VM
 * @param dataCentre data centre of the VM
 * @param peer where other processes connect
 * @param admin where operators connect
 * @param log log service
 * @param vmList VM list
 * @param logRetentionMillis time for which the log service keeps records, in milliseconds
 * @param drainTimeoutMillis time after which a graceful stop ends running work; 0 for no limit
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

    private static final long LONGEST_DRAIN_MILLIS = 86_400_000;
    private static final long SHORTEST_RETENTION_MILLIS = 60_000;
    private static final long USUAL_RETENTION_MILLIS = 604_800_000;
    private static final long LONGEST_RETENTION_MILLIS = 31_536_000_000L;

    /**
     * Reads the shared settings from the top of a settings document.
     *
     * @param top the top mapping
     * @return the settings
     */
    public static ProcessSettings read(YamlMap top) {
        YamlMap platform = top.requiredMap("platform");
        ProcessSettings settings = new ProcessSettings(
                top.text("process"),
                top.text("dataCentre"),
                Address.read(top.requiredMap("peer")),
                Address.read(top.requiredMap("admin")),
                Address.read(platform.requiredMap("log")),
                Address.read(platform.requiredMap("vmList")),
                platform.number(
                        "logRetentionMillis",
                        SHORTEST_RETENTION_MILLIS,
                        LONGEST_RETENTION_MILLIS,
                        USUAL_RETENTION_MILLIS),
                top.number("drainTimeoutMillis", 0, LONGEST_DRAIN_MILLIS, 0));
        platform.rejectUnknownKeys();
        return settings;
    }
}
