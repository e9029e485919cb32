package org.redwinghook.core.admission;

/** Weights for fair queueing. A weight is greater than 0; a share of double the weight gets double the tokens. */
public interface FairShares {

    /** All owners and all customers weigh the same. */
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
