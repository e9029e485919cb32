package org.redwinghook.sidecar.engine;

import org.redwinghook.core.message.FinishReason;

/** Receives what an engine sends for one generation. Exactly one of finished and failed is called, and it is last. */
public interface EngineListener {

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
     * The stream ended before the generation was whole.
     *
     * @param cause what happened
     * @param sent whether the engine may have received the request
     */
    void failed(String cause, boolean sent);
}
