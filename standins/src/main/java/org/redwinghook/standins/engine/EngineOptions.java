package org.redwinghook.standins.engine;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.redwinghook.standins.KindOptions;
import org.redwinghook.standins.StandIn;

/** Options of the engine stand-in. */
public final class EngineOptions extends KindOptions {

    private static final EngineSettings DEFAULTS = EngineSettings.DEFAULT;
    private static final long MICROS_PER_MILLI = 1_000;

    @Option(name = "--seed", metaVar = "N", usage = "determines, with the prompt, length and words of outputs")
    private long seed = DEFAULTS.seed();

    @Option(name = "--median-tokens", metaVar = "N", usage = "median of the natural lengths of outputs")
    private int medianTokens = DEFAULTS.medianTokens();

    @Option(name = "--token-millis", metaVar = "MILLIS", usage = "time of a decoding step with an empty batch")
    private long tokenMillis = DEFAULTS.timing().stepMicros() / MICROS_PER_MILLI;

    @Option(name = "--sequence-micros", metaVar = "MICROS", usage = "time that each generation adds to a step")
    private long sequenceMicros = DEFAULTS.timing().sequenceMicros();

    @Option(name = "--prefill-micros", metaVar = "MICROS", usage = "time that each prompt token adds to a step")
    private long prefillMicros = DEFAULTS.timing().prefillMicros();

    @Option(name = "--maximum-batch", metaVar = "N", usage = "maximum number of generations in the batch")
    private int maximumBatch = DEFAULTS.timing().maximumBatch();

    @Option(name = "--memory-tokens", metaVar = "N", usage = "tokens that fit in memory")
    private int memoryTokens = DEFAULTS.memory().capacityTokens();

    @Option(name = "--prefix-cache-tokens", metaVar = "N", usage = "tokens that fit in the prefix cache")
    private int prefixCacheTokens = DEFAULTS.memory().prefixCacheTokens();

    @Option(name = "--cold-steps", metaVar = "N", usage = "decoding steps until a started engine is warm")
    private int coldSteps = DEFAULTS.coldStart().steps();

    @Option(name = "--cold-slowdown", metaVar = "FACTOR", usage = "factor on the time of steps while cold")
    private int coldSlowdown = DEFAULTS.coldStart().slowdown();

    @Option(name = "--cold-requests", metaVar = "N", usage = "requests that a cold engine can run")
    private int coldRequests = DEFAULTS.coldStart().coldCapacity();

    @Option(name = "--cold-overload", usage = "behaviour of a cold engine with more requests")
    private ColdOverload coldOverload = DEFAULTS.coldStart().overload();

    @Option(name = "--load-lag-millis", metaVar = "MILLIS", usage = "age of the reported load")
    private long loadLagMillis = DEFAULTS.reporting().loadLagMillis();

    @Option(name = "--cache-event-delay-millis", metaVar = "MILLIS", usage = "delay of cache events")
    private long cacheEventDelayMillis = DEFAULTS.reporting().cacheEventDelayMillis();

    @Option(name = "--cache-event-gap-every", metaVar = "N", usage = "every n-th cache event is missing; 0 for none")
    private int cacheEventGapEvery = DEFAULTS.reporting().cacheEventGapEvery();

    @Option(
            name = "--grace-millis",
            metaVar = "MILLIS",
            usage = "time for which a generation continues without a stream")
    private long graceMillis = DEFAULTS.graceMillis();

    @Option(
            name = "--restart-millis",
            metaVar = "MILLIS",
            usage = "time for which a crashed engine refuses connections")
    private long restartMillis = DEFAULTS.restartMillis();

    @Option(name = "--command-millis", metaVar = "MILLIS", usage = "time until a command is applied")
    private long commandMillis = DEFAULTS.commandMillis();

    @Option(name = "--ignore-fencing", usage = "apply commands with outdated fencing numbers instead of refusing them")
    private boolean ignoreFencing;

    @Override
    public StandIn create(Vertx vertx) {
        EngineSettings settings = new EngineSettings(
                seed,
                medianTokens,
                new EngineTiming(tokenMillis * MICROS_PER_MILLI, sequenceMicros, prefillMicros, maximumBatch),
                new EngineMemory(memoryTokens, prefixCacheTokens),
                new ColdStart(coldSteps, coldSlowdown, coldRequests, coldOverload),
                new EngineReporting(loadLagMillis, cacheEventDelayMillis, cacheEventGapEvery),
                graceMillis,
                restartMillis,
                commandMillis,
                !ignoreFencing);
        return new EngineStandIn(vertx, port(), settings);
    }
}
