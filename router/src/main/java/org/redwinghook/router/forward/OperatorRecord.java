package org.redwinghook.router.forward;

import org.redwinghook.core.forward.ForwardingConfiguration;

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
}
