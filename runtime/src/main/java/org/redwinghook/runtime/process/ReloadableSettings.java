package org.redwinghook.runtime.process;

import java.util.function.Consumer;

/**
 * Settings of a process that may change while it runs. Safe for use by several threads.
 *
 * @param <S> type of the settings
 */
public final class ReloadableSettings<S> {

    private volatile S current;
    private volatile Consumer<S> changeHandler = settings -> {};

    /**
     * Creates settings.
     *
     * @param initial settings that the process starts with
     */
    public ReloadableSettings(S initial) {
        this.current = initial;
    }

    /**
     * Newest valid settings.
     *
     * @return the settings
     */
    public S current() {
        return current;
    }

    /**
     * Sets the listener for changes.
     *
     * @param handler receives the settings before the change; called on the thread that replaces them
     */
    public void onChange(Consumer<S> handler) {
        changeHandler = handler;
    }

    /**
     * Replaces the settings.
     *
     * @param newest valid settings
     */
    public void replace(S newest) {
        S previous = current;
        if (!previous.equals(newest)) {
            current = newest;
            changeHandler.accept(previous);
        }
    }
}
