package org.redwinghook.sidecar.generation;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.core.stream.TokenBuffer;
import org.redwinghook.sidecar.engine.EngineStream;

/** A generation with all its tokens, retained until the time in which its caller may resume it has passed. */
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
    private boolean isPaused;
    private boolean isEndDelivered;
    private long retentionCount;

    /**
     * Creates a generation without tokens.
     *
     * @param identifier identifier, unique within the deployment
     * @param owner owner of the customer
     * @param customer customer that started the generation
     * @param promptTokens prompt length in tokens
     * @param requestIdentifier identifier of the admitted request
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
     * Identifier of the admitted request.
     *
     * @return the identifier
     */
    public long requestIdentifier() {
        return requestIdentifier;
    }

    /**
     * Sets the engine's stream.
     *
     * @param engineStream the stream
     */
    public void setStream(EngineStream engineStream) {
        stream = engineStream;
    }

    /** Cancels the generation at the engine. */
    public void cancel() {
        interrupt("the generation was cancelled");
        if (stream != null) {
            stream.cancel();
        }
    }

    /**
     * Whether reading of the engine's stream is paused to limit memory.
     *
     * @return true while it is paused
     */
    public boolean isPaused() {
        return isPaused;
    }

    /**
     * Pauses or resumes reading of the engine's stream.
     *
     * @param value true to pause, false to resume
     */
    public void setPaused(boolean value) {
        if (isPaused == value || stream == null) {
            return;
        }
        isPaused = value;
        if (isPaused) {
            stream.pause();
        } else {
            stream.resume();
        }
    }

    /**
     * Whether some tokens have not been sent to the current subscriber.
     *
     * @return true if tokens are unsent or there is no subscriber
     */
    public boolean hasBacklog() {
        return subscription == null || subscription.lastSentSequence() < tokens.lastSequence();
    }

    /**
     * Whether the end was delivered to a subscriber.
     *
     * @return true if the operating system has accepted the last message
     */
    public boolean isEndDelivered() {
        return isEndDelivered;
    }

    /** Records that the end was delivered. */
    public void markEndDelivered() {
        isEndDelivered = true;
    }

    /**
     * Restarts the retention period.
     *
     * @return sequence number of the period, with which a timer detects that it is outdated
     */
    public long renewRetention() {
        retentionCount++;
        return retentionCount;
    }

    /**
     * Whether a retention period is the latest one.
     *
     * @param retentionNumber sequence number from {@link #renewRetention}
     * @return true if no later period was started
     */
    public boolean isLatestRetention(long retentionNumber) {
        return retentionCount == retentionNumber;
    }

    /**
     * Tokens generated so far.
     *
     * @return the tokens
     */
    public TokenBuffer tokens() {
        return tokens;
    }

    /**
     * State of the generation.
     *
     * @return the state
     */
    public GenerationState state() {
        return state;
    }

    /**
     * Reason why the engine finished the generation; valid only in state {@code FINISHED}.
     *
     * @return the reason
     */
    public FinishReason finishReason() {
        return finishReason;
    }

    /**
     * Cause of the interruption; valid only in state {@code INTERRUPTED}.
     *
     * @return the cause
     */
    public String interruptionCause() {
        return interruptionCause;
    }

    /**
     * Token usage so far.
     *
     * @return the usage
     */
    public TokenUsage usage() {
        return new TokenUsage(promptTokens, tokens.lastSequence());
    }

    /**
     * Appends a token and sends it to the subscriber.
     *
     * @param text text of the token
     */
    public void append(String text) {
        tokens.append(text);
        deliver();
    }

    /**
     * Marks the generation as finished.
     *
     * @param reason reason why the engine finished it
     */
    public void finish(FinishReason reason) {
        state = GenerationState.FINISHED;
        finishReason = reason;
        deliver();
    }

    /**
     * Marks the generation as interrupted.
     *
     * @param cause cause of the interruption
     */
    public void interrupt(String cause) {
        state = GenerationState.INTERRUPTED;
        interruptionCause = cause;
        deliver();
    }

    /**
     * Replaces the subscription. A generation has one subscription at a time, since its caller reads it once.
     *
     * @param newSubscription the new subscription, null if the caller has left
     */
    public void setSubscription(@Nullable Subscription newSubscription) {
        subscription = newSubscription;
        deliver();
    }

    /**
     * Current subscription.
     *
     * @return the subscription, null if there is none
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
