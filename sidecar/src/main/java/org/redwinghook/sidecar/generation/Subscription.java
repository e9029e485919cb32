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

/** Sends the tokens of a generation to a router within the credit that the router has granted. */
public final class Subscription {

    /** Limits the size of messages, so that a resumed stream does not fill the connection. */
    private static final int MAXIMUM_TOKENS_PER_MESSAGE = 64;

    private final PeerConnection connection;
    private final long exchange;
    private final Supplier<EndpointLoad> load;
    private final Runnable onEndDelivered;
    private long lastSentSequence;
    private long lastAllowedSequence;
    private boolean isEndSent;

    /**
     * Creates a subscription.
     *
     * @param connection connection to the router
     * @param exchange exchange on the connection
     * @param load supplies the endpoint's load for the last message
     * @param lastSentSequence last sequence number that the router has received
     * @param credit number of tokens that may be sent after it
     * @param onEndDelivered called when the operating system has accepted the last message
     */
    public Subscription(
            PeerConnection connection,
            long exchange,
            Supplier<EndpointLoad> load,
            long lastSentSequence,
            int credit,
            Runnable onEndDelivered) {
        this.connection = connection;
        this.exchange = exchange;
        this.load = load;
        this.onEndDelivered = onEndDelivered;
        this.lastSentSequence = lastSentSequence;
        this.lastAllowedSequence = lastSentSequence + credit;
    }

    /**
     * Whether this subscription belongs to an exchange.
     *
     * @param otherConnection the connection
     * @param otherExchange the exchange
     * @return true if it does
     */
    public boolean matches(PeerConnection otherConnection, long otherExchange) {
        return connection == otherConnection && exchange == otherExchange;
    }

    /**
     * Last sequence number that was sent.
     *
     * @return the number
     */
    public long lastSentSequence() {
        return lastSentSequence;
    }

    /**
     * Notifies the router that the generation is accepted.
     *
     * @param generation the generation
     */
    public void sendAccepted(Generation generation) {
        connection.send(new Accepted(exchange, generation.identifier()));
    }

    /**
     * Notifies the router that the generation is refused and was not run.
     *
     * @param reason reason of the refusal
     * @param detail explanation for the caller
     * @param retryAfterMillis time to wait before a retry
     */
    public void sendRefused(RefusalReason reason, String detail, long retryAfterMillis) {
        isEndSent = true;
        connection.send(new Refused(exchange, reason, detail, retryAfterMillis, load.get()));
    }

    /**
     * Raises the credit.
     *
     * @param newLastAllowedSequence last sequence number that may be sent
     */
    public void raiseCredit(long newLastAllowedSequence) {
        lastAllowedSequence = Math.max(lastAllowedSequence, newLastAllowedSequence);
    }

    /**
     * Sends the tokens that the credit allows, and the end after the last token.
     *
     * @param generation the generation
     */
    public void sendAvailable(Generation generation) {
        while (true) {
            long last = Math.min(lastAllowedSequence, lastSentSequence + MAXIMUM_TOKENS_PER_MESSAGE);
            List<String> texts = generation.tokens().slice(lastSentSequence + 1, last);
            if (texts.isEmpty()) {
                break;
            }
            connection.send(new Tokens(exchange, lastSentSequence + 1, texts));
            lastSentSequence += texts.size();
        }
        sendEnd(generation);
    }

    private void sendEnd(Generation generation) {
        long last = generation.tokens().lastSequence();
        if (isEndSent || !generation.state().hasEnded() || lastSentSequence < last) {
            return;
        }
        isEndSent = true;
        if (generation.state() == GenerationState.FINISHED) {
            deliverEnd(new Finished(exchange, generation.finishReason(), generation.usage(), last, load.get()));
            return;
        }
        deliverEnd(new Interrupted(exchange, generation.interruptionCause(), last));
    }

    private void deliverEnd(Message end) {
        connection.send(end).onSuccess(ignored -> onEndDelivered.run());
    }
}
