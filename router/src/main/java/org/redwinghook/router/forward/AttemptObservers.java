package org.redwinghook.router.forward;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** The registered observers of attempts. */
final class AttemptObservers {

    private final List<AttemptObserver> observers = new CopyOnWriteArrayList<>();

    void register(AttemptObserver observer) {
        observers.add(observer);
    }

    void notify(Consumer<AttemptObserver> notification) {
        observers.forEach(notification);
    }
}
