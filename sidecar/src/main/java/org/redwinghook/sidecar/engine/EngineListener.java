package org.redwinghook.sidecar.engine;

import org.redwinghook.core.message.FinishReason;

/**
 * Receives what an engine sends for one generation. Exactly one of refused, finished and failed is called, and it is
 * last.
 */
public interface EngineListener {

    /** The engine took the connection; the request is being sent. */
    void connected();

    /** The engine does not accept connections; nothing was sent. */
    void refused();

    /**
     * A token arrived.
     *
     * @param text its text
     */
    void token(String text);

    /**
     * The generation is whole.
     *
     * @param reason why the engine stopped
     */
    void finished(FinishReason reason);

    /**
     * The generation ended before it was whole.
     *
     * @param cause what happened
     */
    void failed(String cause);
}
