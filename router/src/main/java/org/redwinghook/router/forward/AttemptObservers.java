package org.redwinghook.router.forward;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The registered observers of attempts. */
final class AttemptObservers {

    private static final Logger LOGGER = LoggerFactory.getLogger(AttemptObservers.class);

    private final List<AttemptObserver> observers = new CopyOnWriteArrayList<>();

    void register(AttemptObserver observer) {
        observers.add(observer);
    }

    void notify(Consumer<AttemptObserver> notification) {
        for (AttemptObserver observer : observers) {
            try {
                notification.accept(observer);
            } catch (RuntimeException exception) {
                // An error of one observer must not keep the attempt from being ended.
                LOGGER.error("observer failed observer={}", observer.getClass().getSimpleName(), exception);
            }
        }
    }
}
