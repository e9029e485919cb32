package org.redwinghook.router.forward;

import io.vertx.core.Future;
import org.redwinghook.core.rollout.RolloutStatus;

/** The statuses of roll-outs in the platform's store. Each call is billed. */
public interface RolloutStore {

    /**
     * Reads the newest status of a service's roll-outs.
     *
     * @param service name of the service
     * @return the status, with the end of the topic
     */
    Future<RolloutStatusPage> readStatus(String service);

    /**
     * Appends a status if the topic still ends where it did. After a failure, the status may have been appended, or may
     * be appended later if the condition still holds then.
     *
     * @param service name of the service
     * @param status the status
     * @param page end of the topic, and its era, for which the status was decided
     * @return false if the topic ends elsewhere, or if the store has meanwhile come back from a copy, so that the end says
     *     nothing about the records before it
     */
    Future<Boolean> appendStatus(String service, RolloutStatus status, RolloutStatusPage page);
}
