package org.redwinghook.router.forward;

import org.redwinghook.core.forward.ForwardingConfiguration;

/** What an operator wrote. */
public sealed interface OperatorRecord {

    /**
     * A configuration.
     *
     * @param configuration the configuration
     */
    record Configuration(ForwardingConfiguration configuration) implements OperatorRecord {}

    /**
     * A data centre that is out or back.
     *
     * @param dataCentre the data centre
     * @param withdrawn whether it is out
     */
    record Withdrawal(String dataCentre, boolean withdrawn) implements OperatorRecord {}
}
