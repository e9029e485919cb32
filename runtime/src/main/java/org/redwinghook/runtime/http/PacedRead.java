package org.redwinghook.runtime.http;

import io.vertx.core.Vertx;
import io.vertx.core.streams.ReadStream;
import org.redwinghook.core.receive.PartAllowance;

/**
 * Pauses a stream whose peer sends more parts than it is allowed, so that other connections of the event loop have their
 * turn. Confined to the event loop of the stream.
 */
public final class PacedRead {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Vertx vertx;
    private final ReadStream<?> stream;
    private final PartAllowance allowance;
    private int holds;
    private boolean isPacing;

    /**
     * Creates a paced read.
     *
     * @param vertx timers of the event loop
     * @param stream the stream, which nothing else pauses
     * @param allowance parts that may be processed
     */
    public PacedRead(Vertx vertx, ReadStream<?> stream, PartAllowance allowance) {
        this.vertx = vertx;
        this.stream = stream;
        this.allowance = allowance;
    }

    /**
     * Records parts that have been processed, and pauses the stream if they were more than allowed.
     *
     * @param parts number of parts
     */
    public void record(int parts) {
        long delayMillis = allowance.take(parts, System.nanoTime() / NANOS_PER_MILLI);
        if (delayMillis == 0 || isPacing) {
            return;
        }
        isPacing = true;
        hold();
        vertx.setTimer(delayMillis, ignored -> {
            isPacing = false;
            release();
        });
    }

    /** Pauses the stream until {@link #release} has been called as often as this method. */
    public void hold() {
        holds++;
        if (holds == 1) {
            stream.pause();
        }
    }

    /** Ends one pause. */
    public void release() {
        holds--;
        if (holds == 0) {
            stream.resume();
        }
    }
}
