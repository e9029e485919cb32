package org.redwinghook.sidecar.generation;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.core.stream.TokenBuffer;

/** One generation with all its tokens, kept until its callers have had time to resume. */
public final class Generation {

    private final String identifier;
    private final String owner;
    private final String customer;
    private final int promptTokens;
    private final TokenBuffer tokens = new TokenBuffer();
    private GenerationState state = GenerationState.RUNNING;
    private FinishReason finishReason = FinishReason.STOP;
    private String interruption = "";
    private @Nullable Subscription subscription;

    /**
     * Creates a generation without tokens.
     *
     * @param identifier identifier, unique in the deployment
     * @param owner owner of the customer
     * @param customer customer that started it
     * @param promptTokens prompt length in tokens
     */
    public Generation(String identifier, String owner, String customer, int promptTokens) {
        this.identifier = identifier;
        this.owner = owner;
        this.customer = customer;
        this.promptTokens = promptTokens;
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
    public String interruption() {
        return interruption;
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
        pump();
    }

    /**
     * Ends the generation whole.
     *
     * @param reason why the engine stopped
     */
    public void finish(FinishReason reason) {
        state = GenerationState.FINISHED;
        finishReason = reason;
        pump();
    }

    /**
     * Ends the generation early.
     *
     * @param cause what happened
     */
    public void interrupt(String cause) {
        state = GenerationState.INTERRUPTED;
        interruption = cause;
        pump();
    }

    /**
     * Replaces the follower. A generation has one follower at a time, since a caller reads it once.
     *
     * @param follower the new follower, null if the caller went away
     */
    public void follow(@Nullable Subscription follower) {
        subscription = follower;
        pump();
    }

    /**
     * The follower now.
     *
     * @return the follower, null if there is none
     */
    public @Nullable Subscription subscription() {
        return subscription;
    }

    private void pump() {
        if (subscription != null) {
            subscription.pump(this);
        }
    }
}
