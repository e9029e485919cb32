package org.redwinghook.standins.vmlist;

/**
 * Faults of the VM list stand-in.
 *
 * @param down whether the list closes the connection of each read
 * @param lagMillis delay until a change becomes visible
 */
public record VmListFaults(boolean down, long lagMillis) {

    /** No faults. */
    public static final VmListFaults NONE = new VmListFaults(false, 0);

    /**
     * Sets whether the list is down.
     *
     * @param value whether the list is down
     * @return the new faults
     */
    public VmListFaults withDown(boolean value) {
        return new VmListFaults(value, lagMillis);
    }

    /**
     * Sets the lag of changes.
     *
     * @param value lag in milliseconds
     * @return the new faults
     */
    public VmListFaults withLagMillis(long value) {
        return new VmListFaults(down, value);
    }
}
