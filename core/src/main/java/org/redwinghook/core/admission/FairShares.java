package org.redwinghook.core.admission;

/**
 * Weights for fair queueing. A weight is greater than 0; an owner or customer with double the weight gets double the
 * tokens.
 */
public interface FairShares {

    /** Equal weights for all owners and all customers. */
    FairShares EQUAL = new FairShares() {
        @Override
        public double ownerWeight(String owner) {
            return 1;
        }

        @Override
        public double customerWeight(String customer) {
            return 1;
        }
    };

    /**
     * Weight of an owner relative to other owners.
     *
     * @param owner name of the owner
     * @return the weight
     */
    double ownerWeight(String owner);

    /**
     * Weight of a customer relative to its owner's other customers.
     *
     * @param customer name of the customer
     * @return the weight
     */
    double customerWeight(String customer);
}
