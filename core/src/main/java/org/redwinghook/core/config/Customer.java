package org.redwinghook.core.config;

import java.util.List;

/**
 * A customer of an owner.
 *
 * @param name name of the customer
 * @param owner owner that is billed for the customer's usage
 * @param credentialHashes SHA-256 hashes of the customer's bearer credentials, in lower-case hexadecimal
 * @param requestsPerSecond limit on requests
 * @param tokensPerMinute limit on input and output tokens
 * @param weight share of an endpoint relative to the owner's other customers
 * @param priority scheduling priority; lower numbers are served first
 */
public record Customer(
        String name,
        String owner,
        List<String> credentialHashes,
        double requestsPerSecond,
        long tokensPerMinute,
        double weight,
        int priority)
        implements SectionEntry {

    public Customer {
        credentialHashes = List.copyOf(credentialHashes);
    }
}
