package org.redwinghook.core.rollout;

import java.util.Set;

/**
 * The other routers, as known to one router.
 *
 * @param registered names of the registered routers, without its own
 * @param connected names of the routers to which it is connected
 */
public record RolloutRouters(Set<String> registered, Set<String> connected) {

    public RolloutRouters {
        registered = Set.copyOf(registered);
        connected = Set.copyOf(connected);
    }

    int count() {
        return registered.size() + 1;
    }
}
