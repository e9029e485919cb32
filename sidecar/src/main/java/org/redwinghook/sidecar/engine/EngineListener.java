package org.redwinghook.sidecar.engine;

import org.redwinghook.core.message.FinishReason;

/**
 * Receives the events of one generation. Exactly one of {@link #onRefused}, {@link #onFinished} and {@link #onFailed}
 * is called, and no other method after it.
 */
public interface EngineListener {

    /** Called when the connection to the engine is established and the request is being sent. */
    void onConnected();

    /** Called when the engine does not accept connections; nothing was sent. */
    void onRefused();

    /**
     * Called for each token.
     *
     * @param text text of the token
     */
    void onToken(String text);

    /**
     * Called when the engine has finished the generation.
     *
     * @param reason reason why the generation finished
     */
    void onFinished(FinishReason reason);

    /**
     * Called when the generation has ended before the engine finished it.
     *
     * @param cause cause of the failure
     */
    void onFailed(String cause);
}
