package org.redwinghook.runtime.admin;

/** A service whose state can be dumped. */
@FunctionalInterface
public interface StateSource {

    /**
     * The state now, as an object that Jackson can write: a record or a list of records.
     *
     * @return the state
     */
    Object state();
}
