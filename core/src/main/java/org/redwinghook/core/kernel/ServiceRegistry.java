package org.redwinghook.core.kernel;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The micro-kernel of each process: services register under a unique name and find each other by it.
 * Registration happens while a process starts; look-ups may come from any thread afterwards.
 */
public final class ServiceRegistry {

    private final Map<String, Object> services = Collections.synchronizedMap(new LinkedHashMap<>());

    /**
     * Registers a service.
     *
     * @param name the name, unique in this process
     * @param service the service
     * @throws IllegalStateException if the name is taken
     */
    public void register(String name, Object service) {
        Object present = services.putIfAbsent(name, service);
        if (present != null) {
            throw new IllegalStateException("service name '" + name + "' is registered twice");
        }
    }

    /**
     * Finds a service by name.
     *
     * @param name the name it was registered under
     * @param type the type that the caller expects
     * @param <T> the type that the caller expects
     * @return the service
     * @throws IllegalStateException if there is no such service or it has another type
     */
    public <T> T find(String name, Class<T> type) {
        Object service = services.get(name);
        if (service == null) {
            throw new IllegalStateException("no service is registered as '" + name + "'");
        }
        if (!type.isInstance(service)) {
            throw new IllegalStateException("service '" + name + "' is a "
                    + service.getClass().getSimpleName() + ", not a " + type.getSimpleName());
        }
        return type.cast(service);
    }

    /**
     * Lists the names in order of registration.
     *
     * @return the names
     */
    public Set<String> names() {
        synchronized (services) {
            return Collections.unmodifiableSet(new LinkedHashSet<>(services.keySet()));
        }
    }
}
