package org.redwinghook.sidecar.generation;

import java.util.List;
import java.util.function.Supplier;

import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.message.Finished;
import org.redwinghook.core.message.Interrupted;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Tokens;
import org.redwinghook.runtime.wire.PeerConnection;

/** A router that follows a generation, with the credit that it granted. */
public final class Subscription {

    /** Tokens in one message at most, so that a resumed stream does not fill the connection. */
    private static final int LARGEST_RUN = 64;

    private final PeerConnection connection;
    private final long exchange;
    private final Supplier<EndpointLoad> load;
    private final Runnable onEndDelivered;
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
     * @param onEndDelivered called when the operating system took the last message
     */
    public Subscription(
            PeerConnection connection,
            long exchange,
            Supplier<EndpointLoad> load,
            long sentThrough,
            int credit,
            Runnable onEndDelivered) {
        this.connection = connection;
        this.exchange = exchange;
        this.load = load;
        this.onEndDelivered = onEndDelivered;
        this.sentThrough = sentThrough;
        this.sendThrough = sentThrough + credit;
    }

    /**
     * Whether this follower has an exchange on a connection.
     *
     * @param other the connection
     * @param number the exchange
     * @return true if it does
     */
    public boolean uses(PeerConnection other, long number) {
        return connection == other && exchange == number;
    }

    /**
     * Last sequence number that was sent.
     *
     * @return the number
     */
    public long sentThrough() {
        return sentThrough;
    }

    /**
     * Tells the follower that the generation exists.
     *
     * @param generation the generation
     */
    public void accept(Generation generation) {
        connection.send(new Accepted(exchange, generation.identifier()));
    }

    /**
     * Tells the follower that the generation was not run.
     *
     * @param reason why
     * @param detail explanation for the caller
     * @param retryAfterMillis time after which another try makes sense
     */
    public void refuse(RefusalReason reason, String detail, long retryAfterMillis) {
        endSent = true;
        connection.send(new Refused(exchange, reason, detail, retryAfterMillis, load.get()));
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
            deliverEnd(new Finished(exchange, generation.finishReason(), generation.usage(), last, load.get()));
            return;
        }
        deliverEnd(new Interrupted(exchange, generation.interruption(), last));
    }

    private void deliverEnd(Message end) {
        connection.send(end).onSuccess(ignored -> onEndDelivered.run());
    }
}
