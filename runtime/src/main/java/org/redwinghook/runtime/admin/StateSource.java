package org.redwinghook.runtime.admin;

/** A service whose state is included in state dumps. */
@FunctionalInterface
public interface StateSource {

    /**
     * Returns the current state as an object that Jackson can serialise: a record or a list of records.
     *
     * @return the state
     */
    Object state();
}
