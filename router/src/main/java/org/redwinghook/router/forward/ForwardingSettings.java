package org.redwinghook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.zip.CRC32;

import io.vavr.control.Either;
import org.redwinghook.core.dispatch.WaitingSettings;
import org.redwinghook.core.document.Finding;
import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;
import org.redwinghook.core.placement.ColdBurst;
import org.redwinghook.core.receive.CallerProtection;
import org.redwinghook.core.rollout.RolloutLimits;
import org.redwinghook.core.routing.RetryLimits;
import org.redwinghook.runtime.process.DescriptorLimit;
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
 * @param retries limits of the retries
 * @param coldBurst tolerance of cold endpoints for a burst
 * @param rollouts limits of the roll-outs
 * @param waiting queues for requests while capacity is short
 * @param callers limits on what is held for all callers
 * @param digest checksum of the document, which tells operators which version of it is in force
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
        RetryLimits retries,
        ColdBurst coldBurst,
        RolloutLimits rollouts,
        WaitingSettings waiting,
        CallerProtection callers,
        String digest) {

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double DEFAULT_STOP_SECONDS = 8;
    private static final double MAXIMUM_STOP_SECONDS = 86_400;
    private static final double MAXIMUM_RETRY_SHARE = 100;
    private static final double MAXIMUM_RETRY_SLACK = 1e9;
    private static final double MAXIMUM_RETRY_WINDOW_SECONDS = 3_600;
    private static final double MAXIMUM_COLD_FACTOR = 1_000;
    private static final double MAXIMUM_COLD_REQUESTS = 1e6;
    private static final double MAXIMUM_CONNECTIONS = 1e6;
    private static final double MINIMUM_CALLER_BYTES = 1_000_000;
    private static final double MAXIMUM_CALLER_BYTES = 1e12;
    private static final double MAXIMUM_FIELDS = 1e6;
    private static final double MAXIMUM_PROGRESS_BYTES = 1e9;
    private static final double MAXIMUM_PROGRESS_SECONDS = 3_600;

    private static final double MAXIMUM_EXPOSURE_SLACK = 1e9;
    private static final double MINIMUM_ROLLBACK_MILLIS = 100;
    private static final double MAXIMUM_ROLLBACK_MILLIS = 3_600_000;
    private static final double MAXIMUM_ROLLOUT_STEPS = 100;
    private static final double MAXIMUM_ROLLOUT_EVIDENCE = 1e6;
    private static final long MAXIMUM_WAITING_REQUESTS = 100_000;

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
                (long) (MILLIS_PER_SECOND
                        * root.nullableDecimal("stopSeconds", 0.001, MAXIMUM_STOP_SECONDS, DEFAULT_STOP_SECONDS)),
                readRetries(root.map("retries")),
                readColdBurst(root.map("coldEndpoints")),
                readRollouts(root.map("rollouts")),
                readWaiting(root.map("waiting")),
                readCallers(root.map("callers")),
                digest(text));
        root.rejectUnknownKeys();
        return findings.resultOf(settings);
    }

    /**
     * Names of the settings that differ from others.
     *
     * @param other the other settings
     * @param restartOnly whether to name the settings that only a restart puts in force, or those that need none
     * @return the names
     */
    List<String> changedNames(ForwardingSettings other, boolean restartOnly) {
        List<String> changed = new ArrayList<>();
        for (Setting setting : Setting.values()) {
            if (setting.needsRestart == restartOnly
                    && !setting.value.apply(this).equals(setting.value.apply(other))) {
                changed.add(setting.name().toLowerCase(Locale.ROOT));
            }
        }
        return changed;
    }

    private static RetryLimits readRetries(YamlMap retries) {
        RetryLimits limits = new RetryLimits(
                retries.nullableDecimal("share", 0, MAXIMUM_RETRY_SHARE, 0),
                retries.nullableDecimal("slack", 0, MAXIMUM_RETRY_SLACK, 0),
                (int) Math.ceil(retries.nullableDecimal(
                        "windowSeconds", 0.001, MAXIMUM_RETRY_WINDOW_SECONDS, RetryLimits.DEFAULT_WINDOW_SECONDS)));
        retries.rejectUnknownKeys();
        return limits;
    }

    private static ColdBurst readColdBurst(YamlMap cold) {
        ColdBurst burst = new ColdBurst(
                cold.nullableDecimal("burstFactor", 0, MAXIMUM_COLD_FACTOR, ColdBurst.NONE.factor()),
                cold.nullableDecimal("burstRequests", 0, MAXIMUM_COLD_REQUESTS, ColdBurst.NONE.requests()));
        cold.rejectUnknownKeys();
        return burst;
    }

    private static RolloutLimits readRollouts(YamlMap rollouts) {
        RolloutLimits defaults = RolloutLimits.DEFAULT;
        RolloutLimits limits = new RolloutLimits(
                rollouts.nullableDecimal("exposureShare", 0, 1, defaults.exposureShare()),
                rollouts.nullableDecimal("exposureSlack", 0, MAXIMUM_EXPOSURE_SLACK, defaults.exposureSlack()),
                (long) rollouts.nullableDecimal(
                        "rollbackMillis", MINIMUM_ROLLBACK_MILLIS, MAXIMUM_ROLLBACK_MILLIS, defaults.rollbackMillis()),
                (int) rollouts.nullableDecimal("steps", 0, MAXIMUM_ROLLOUT_STEPS, defaults.steps()),
                (int) rollouts.nullableDecimal("evidence", 1, MAXIMUM_ROLLOUT_EVIDENCE, defaults.evidence()));
        rollouts.rejectUnknownKeys();
        return limits;
    }

    private static WaitingSettings readWaiting(YamlMap waiting) {
        WaitingSettings settings = new WaitingSettings(waiting.flag("enabled", false), (int) waiting.number(
                "maximumRequests", 1, MAXIMUM_WAITING_REQUESTS, WaitingSettings.DEFAULT_MAXIMUM_REQUESTS));
        waiting.rejectUnknownKeys();
        return settings;
    }

    private static CallerProtection readCallers(YamlMap callers) {
        CallerProtection defaults = CallerProtection.defaults(
                DescriptorLimit.read(), Runtime.getRuntime().maxMemory());
        CallerProtection protection = new CallerProtection(
                (int) callers.nullableDecimal(
                        "maximumConnections", 1, MAXIMUM_CONNECTIONS, defaults.maximumConnections()),
                (long) callers.nullableDecimal(
                        "maximumBytes", MINIMUM_CALLER_BYTES, MAXIMUM_CALLER_BYTES, defaults.maximumBytes()),
                (int) callers.nullableDecimal("maximumFields", 1, MAXIMUM_FIELDS, defaults.maximumFields()),
                callers.nullableDecimal("addressShare", 0, 1, defaults.addressShare()),
                (int) callers.nullableDecimal("progressBytes", 1, MAXIMUM_PROGRESS_BYTES, defaults.progressBytes()),
                (long) (MILLIS_PER_SECOND
                        * callers.nullableDecimal(
                                "progressSeconds",
                                0.001,
                                MAXIMUM_PROGRESS_SECONDS,
                                defaults.progressMillis() / MILLIS_PER_SECOND)),
                (int) callers.nullableDecimal(
                        "operatorConnections", 1, MAXIMUM_CONNECTIONS, defaults.operatorConnections()));
        callers.rejectUnknownKeys();
        return protection;
    }

    private static String digest(String text) {
        CRC32 checksum = new CRC32();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(checksum.getValue());
    }

    private enum Setting {
        PROCESS(true, ForwardingSettings::process),
        DATA_CENTRE(true, ForwardingSettings::dataCentre),
        REGIONS(false, ForwardingSettings::regions),
        CALLER(true, ForwardingSettings::caller),
        READY(true, ForwardingSettings::ready),
        READY_PATH(true, ForwardingSettings::readyPath),
        PEER(true, ForwardingSettings::peer),
        ADMIN(true, ForwardingSettings::admin),
        STORE(true, ForwardingSettings::store),
        STOP_SECONDS(false, ForwardingSettings::stopMillis),
        RETRY_SHARE(false, settings -> settings.retries().share()),
        RETRY_SLACK(false, settings -> settings.retries().slack()),
        RETRY_WINDOW(true, settings -> settings.retries().windowSeconds()),
        COLD_ENDPOINTS(false, ForwardingSettings::coldBurst),
        ROLLOUTS(false, ForwardingSettings::rollouts),
        WAITING(false, ForwardingSettings::waiting),
        CALLERS(true, ForwardingSettings::callers);

        private final boolean needsRestart;
        private final Function<ForwardingSettings, Object> value;

        Setting(boolean needsRestart, Function<ForwardingSettings, Object> value) {
            this.needsRestart = needsRestart;
            this.value = value;
        }
    }
}
