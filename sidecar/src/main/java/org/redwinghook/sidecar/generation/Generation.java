package org.redwinghook.sidecar.generation;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.core.stream.TokenBuffer;
import org.redwinghook.sidecar.engine.EngineStream;

/** One generation with all its tokens, kept until its callers have had time to resume. */
public final class Generation {

    private final String identifier;
    private final String owner;
    private final String customer;
    private final int promptTokens;
    private final long requestIdentifier;
    private final TokenBuffer tokens = new TokenBuffer();
    private GenerationState state = GenerationState.RUNNING;
    private FinishReason finishReason = FinishReason.STOP;
    private String interruptionCause = "";
    private @Nullable Subscription subscription;
    private @Nullable EngineStream stream;
    private boolean paused;
    private boolean endDelivered;
    private long retentionCount;

    /**
     * Creates a generation without tokens.
     *
     * @param identifier identifier, unique in the deployment
     * @param owner owner of the customer
     * @param customer customer that started it
     * @param promptTokens prompt length in tokens
     * @param requestIdentifier number under which it was admitted
     */
    public Generation(String identifier, String owner, String customer, int promptTokens, long requestIdentifier) {
        this.identifier = identifier;
        this.owner = owner;
        this.customer = customer;
        this.promptTokens = promptTokens;
        this.requestIdentifier = requestIdentifier;
    }

    /**
     * Identifier of the generation.
     *
     * @return the identifier
     */
    public String identifier() {
        return identifier;
    }

    /**
     * Owner of the customer.
     *
     * @return the owner's name
     */
    public String owner() {
        return owner;
    }

    /**
     * Customer that started the generation.
     *
     * @return the customer's name
     */
    public String customer() {
        return customer;
    }

    /**
     * Number under which the generation was admitted.
     *
     * @return the number
     */
    public long requestIdentifier() {
        return requestIdentifier;
    }

    /**
     * Sets the engine's stream.
     *
     * @param opened the stream
     */
    public void stream(EngineStream opened) {
        stream = opened;
    }

    /** Cancels the generation at the engine. */
    public void cancel() {
        interrupt("the generation was cancelled");
        if (stream != null) {
            stream.cancel();
        }
    }

    /**
     * Whether the engine's stream is not read for want of memory.
     *
     * @return true while it is paused
     */
    public boolean isPaused() {
        return paused;
    }

    /**
     * Stops or continues to read the engine's stream.
     *
     * @param value whether to stop
     */
    public void setPaused(boolean value) {
        if (paused == value || stream == null) {
            return;
        }
        paused = value;
        if (paused) {
            stream.pause();
        } else {
            stream.resume();
        }
    }

    /**
     * Whether tokens wait that no follower has been sent.
     *
     * @return true if some wait
     */
    public boolean hasBacklog() {
        return subscription == null || subscription.lastSentSequence() < tokens.lastSequence();
    }

    /**
     * Whether a follower was sent the end.
     *
     * @return true if the operating system took the last message
     */
    public boolean isEndDelivered() {
        return endDelivered;
    }

    /** Notes that the end was sent. */
    public void markEndDelivered() {
        endDelivered = true;
    }

    /**
     * Notes an event that starts the time for which the generation is kept anew.
     *
     * @return number of such events, by which an outdated timer is told
     */
    public long renewRetention() {
        retentionCount++;
        return retentionCount;
    }

    /**
     * Whether no event has started the retention anew since.
     *
     * @param count number from {@link #renewRetention}
     * @return true if it was the last one
     */
    public boolean isLatestRetention(long count) {
        return retentionCount == count;
    }

    /**
     * Tokens so far.
     *
     * @return the tokens
     */
    public TokenBuffer tokens() {
        return tokens;
    }

    /**
     * Stage of the generation.
     *
     * @return the stage
     */
    public GenerationState state() {
        return state;
    }

    /**
     * Why the engine stopped; meaningful when finished.
     *
     * @return the reason
     */
    public FinishReason finishReason() {
        return finishReason;
    }

    /**
     * Cause of the interruption; meaningful when interrupted.
     *
     * @return the cause
     */
    public String interruptionCause() {
        return interruptionCause;
    }

    /**
     * Tokens counted.
     *
     * @return the usage so far
     */
    public TokenUsage usage() {
        return new TokenUsage(promptTokens, tokens.lastSequence());
    }

    /**
     * Adds a token and passes it on.
     *
     * @param text text of the token
     */
    public void append(String text) {
        tokens.append(text);
        deliver();
    }

    /**
     * Ends the generation whole.
     *
     * @param reason why the engine stopped
     */
    public void finish(FinishReason reason) {
        state = GenerationState.FINISHED;
        finishReason = reason;
        deliver();
    }

    /**
     * Ends the generation early.
     *
     * @param cause what happened
     */
    public void interrupt(String cause) {
        state = GenerationState.INTERRUPTED;
        interruptionCause = cause;
        deliver();
    }

    /**
     * Replaces the follower. A generation has one follower at a time, since a caller reads it once.
     *
     * @param newSubscription the new follower, null if the caller went away
     */
    public void setSubscription(@Nullable Subscription newSubscription) {
        subscription = newSubscription;
        deliver();
    }

    /**
     * The follower now.
     *
     * @return the follower, null if there is none
     */
    public @Nullable Subscription subscription() {
        return subscription;
    }

    private void deliver() {
        if (subscription != null) {
            subscription.sendAvailable(this);
        }
    }
}
