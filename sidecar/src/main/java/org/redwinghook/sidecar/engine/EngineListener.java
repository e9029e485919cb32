package org.redwinghook.sidecar.engine;

import org.redwinghook.core.message.FinishReason;

/**
 * Receives what an engine sends for one generation. Exactly one of refused, finished and failed is called, and it is
 * last.
 */
public interface EngineListener {

    /** The engine took the connection; the request is being sent. */
    void onConnected();

    /** The engine does not accept connections; nothing was sent. */
    void onRefused();

    /**
     * A token arrived.
     *
     * @param text its text
     */
    void onToken(String text);

    /**
     * The generation is whole.
     *
     * @param reason why the engine stopped
     */
    void onFinished(FinishReason reason);

    /**
     * The generation ended before it was whole.
     *
     * @param cause what happened
     */
    void onFailed(String cause);
}
