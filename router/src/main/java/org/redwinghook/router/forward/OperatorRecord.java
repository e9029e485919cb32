package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.ForwardingConfiguration;
import org.redwinghook.core.rollout.RolloutOrder;

/** A record written by an operator. */
public sealed interface OperatorRecord {

    /**
     * A configuration.
     *
     * @param configuration the configuration
     */
    record Configuration(ForwardingConfiguration configuration) implements OperatorRecord {}

    /**
     * Withdrawal of a data centre, or its return.
     *
     * @param dataCentre the data centre
     * @param withdrawn whether the endpoints of the data centre receive no new requests
     */
    record Withdrawal(String dataCentre, boolean withdrawn) implements OperatorRecord {}

    /**
     * An order to roll out a version, or its removal.
     *
     * @param service name of the service
     * @param order the order, null if it was removed
     */
    record Rollout(String service, @Nullable RolloutOrder order) implements OperatorRecord {}
}
