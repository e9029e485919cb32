package org.redwinghook.standins.weights;

/**
 * Faults and transfer rate of the weight store stand-in.
 *
 * @param down whether the store closes the connections of all reads, including those in progress
 * @param bytesPerSecond total rate of all reads
 */
public record WeightFaults(boolean down, long bytesPerSecond) {

    /**
     * Sets whether the store is down.
     *
     * @param value whether the store is down
     * @return the new faults
     */
    public WeightFaults withDown(boolean value) {
        return new WeightFaults(value, bytesPerSecond);
    }

    /**
     * Sets the transfer rate.
     *
     * @param value total bytes per second of all reads
     * @return the new faults
     */
    public WeightFaults withBytesPerSecond(long value) {
        return new WeightFaults(down, value);
    }
}
