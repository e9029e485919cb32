package org.redwinghook.standins.vmlist;

/**
 * Faults of the VM list.
 *
 * @param down whether each read ends in a closed connection
 * @param lagMillis time after which a change becomes visible
 */
public record VmListFaults(boolean down, long lagMillis) {

    /** No faults. */
    public static final VmListFaults NONE = new VmListFaults(false, 0);

    /**
     * Switches the outage.
     *
     * @param value whether the list is down
     * @return the new faults
     */
    public VmListFaults withDown(boolean value) {
        return new VmListFaults(value, lagMillis);
    }

    /**
     * Sets the lag.
     *
     * @param value lag in milliseconds
     * @return the new faults
     */
    public VmListFaults withLagMillis(long value) {
        return new VmListFaults(down, value);
    }
}
