package org.redwinghook.sidecar.generation;

import java.util.List;
import java.util.function.Supplier;

import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.message.Finished;
import org.redwinghook.core.message.Interrupted;
import org.redwinghook.core.message.Tokens;
import org.redwinghook.runtime.wire.PeerConnection;

/** A router that follows a generation, with the credit that it granted. */
public final class Subscription {

    /** Tokens in one message at most, so that a resumed stream does not fill the connection. */
    private static final int LARGEST_RUN = 64;

    private final PeerConnection connection;
    private final long exchange;
    private final Supplier<EndpointLoad> load;
    private long sentThrough;
    private long sendThrough;
    private boolean endSent;

    /**
     * Starts to follow.
     *
     * @param connection connection to the router
     * @param exchange exchange on that connection
     * @param load gives the endpoint's load for the last message
     * @param sentThrough last sequence number that the router already has
     * @param credit tokens that may be sent after it
     */
    public Subscription(
            PeerConnection connection, long exchange, Supplier<EndpointLoad> load, long sentThrough, int credit) {
        this.connection = connection;
        this.exchange = exchange;
        this.load = load;
        this.sentThrough = sentThrough;
        this.sendThrough = sentThrough + credit;
    }

    /**
     * Whether this follower came over a connection.
     *
     * @param other the connection
     * @return true if it did
     */
    public boolean uses(PeerConnection other) {
        return connection == other;
    }

    /**
     * Raises the credit.
     *
     * @param through last sequence number that may be sent
     */
    public void grant(long through) {
        sendThrough = Math.max(sendThrough, through);
    }

    /**
     * Sends what credit allows.
     *
     * @param generation the generation that is followed
     */
    public void pump(Generation generation) {
        while (true) {
            long last = Math.min(sendThrough, sentThrough + LARGEST_RUN);
            List<String> texts = generation.tokens().slice(sentThrough + 1, last);
            if (texts.isEmpty()) {
                break;
            }
            connection.send(new Tokens(exchange, sentThrough + 1, texts));
            sentThrough += texts.size();
        }
        sendEnd(generation);
    }

    private void sendEnd(Generation generation) {
        long last = generation.tokens().lastSequence();
        if (endSent || !generation.state().ended() || sentThrough < last) {
            return;
        }
        endSent = true;
        if (generation.state() == GenerationState.FINISHED) {
            connection.send(new Finished(exchange, generation.finishReason(), generation.usage(), last, load.get()));
            return;
        }
        connection.send(new Interrupted(exchange, generation.interruption(), last));
    }
}
