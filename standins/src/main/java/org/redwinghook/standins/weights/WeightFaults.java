package org.redwinghook.standins.weights;

/**
 * Faults and the rate of the weight store.
 *
 * @param down whether each read ends in a closed connection, also those under way
 * @param bytesPerSecond rate over all readers
 */
public record WeightFaults(boolean down, long bytesPerSecond) {

    /**
     * Switches the outage.
     *
     * @param value whether the store is down
     * @return the new faults
     */
    public WeightFaults withDown(boolean value) {
        return new WeightFaults(value, bytesPerSecond);
    }

    /**
     * Sets the rate.
     *
     * @param value bytes per second over all readers
     * @return the new faults
     */
    public WeightFaults withBytesPerSecond(long value) {
        return new WeightFaults(down, value);
    }
}
