package org.redwinghook.standins.engine;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.redwinghook.standins.KindOptions;
import org.redwinghook.standins.StandIn;

/** Options of the engine. */
public final class EngineOptions extends KindOptions {

    private static final EngineSettings USUAL = EngineSettings.USUAL;
    private static final long MICROS_PER_MILLI = 1_000;

    @Option(name = "--seed", metaVar = "N", usage = "determines, with the prompt, length and words of outputs")
    private long seed = USUAL.seed();

    @Option(name = "--median-tokens", metaVar = "N", usage = "median of the natural lengths of outputs")
    private int medianTokens = USUAL.medianTokens();

    @Option(name = "--token-millis", metaVar = "MILLIS", usage = "time of a decoding step with an empty batch")
    private long tokenMillis = USUAL.pace().stepMicros() / MICROS_PER_MILLI;

    @Option(name = "--sequence-micros", metaVar = "MICROS", usage = "time that each generation adds to a step")
    private long sequenceMicros = USUAL.pace().sequenceMicros();

    @Option(name = "--prefill-micros", metaVar = "MICROS", usage = "time that each prompt token adds to a step")
    private long prefillMicros = USUAL.pace().prefillMicros();

    @Option(name = "--maximum-batch", metaVar = "N", usage = "most generations that decode at once")
    private int maximumBatch = USUAL.pace().maximumBatch();

    @Option(name = "--memory-tokens", metaVar = "N", usage = "tokens that fit in memory")
    private int memoryTokens = USUAL.memory().capacityTokens();

    @Option(name = "--prefix-cache-tokens", metaVar = "N", usage = "tokens that fit in the prefix cache")
    private int prefixCacheTokens = USUAL.memory().prefixCacheTokens();

    @Option(name = "--cold-steps", metaVar = "N", usage = "decoding steps until a started engine is warm")
    private int coldSteps = USUAL.coldStart().steps();

    @Option(name = "--cold-slowdown", metaVar = "FACTOR", usage = "factor on the time of steps while cold")
    private int coldSlowdown = USUAL.coldStart().slowdown();

    @Option(name = "--cold-requests", metaVar = "N", usage = "requests that a cold engine can run")
    private int coldRequests = USUAL.coldStart().coldCapacity();

    @Option(name = "--cold-overload", usage = "what a cold engine does with more")
    private ColdOverload coldOverload = USUAL.coldStart().overload();

    @Option(name = "--load-lag-millis", metaVar = "MILLIS", usage = "age of the load that is reported")
    private long loadLagMillis = USUAL.reporting().loadLagMillis();

    @Option(name = "--cache-event-delay-millis", metaVar = "MILLIS", usage = "delay of cache events")
    private long cacheEventDelayMillis = USUAL.reporting().cacheEventDelayMillis();

    @Option(name = "--cache-event-gap-every", metaVar = "N", usage = "every n-th cache event is missing; 0 for none")
    private int cacheEventGapEvery = USUAL.reporting().cacheEventGapEvery();

    @Option(name = "--grace-millis", metaVar = "MILLIS", usage = "time for which a generation outlives its stream")
    private long graceMillis = USUAL.graceMillis();

    @Option(name = "--restart-millis", metaVar = "MILLIS", usage = "time for which an engine that died is away")
    private long restartMillis = USUAL.restartMillis();

    @Option(name = "--command-millis", metaVar = "MILLIS", usage = "time that a command takes")
    private long commandMillis = USUAL.commandMillis();

    @Option(name = "--ignore-fencing", usage = "apply commands with old fencing numbers instead of refusing them")
    private boolean ignoreFencing;

    @Override
    public StandIn create(Vertx vertx) {
        EngineSettings settings = new EngineSettings(
                seed,
                medianTokens,
                new EnginePace(tokenMillis * MICROS_PER_MILLI, sequenceMicros, prefillMicros, maximumBatch),
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
