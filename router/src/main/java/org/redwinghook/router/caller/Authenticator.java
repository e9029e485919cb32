package org.redwinghook.router.caller;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.hash.Hashing;
import io.vertx.ext.web.RoutingContext;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Customer;
import org.redwinghook.runtime.config.ConfigurationSource;

/** Identifies the customer of a request by its bearer credential. */
public final class Authenticator {

    private static final String BEARER_PREFIX = "Bearer ";
    private static final int HTTP_UNAUTHORIZED = 401;

    private Map<String, Customer> customersByHash = Map.of();

    /**
     * Creates an authenticator that follows the configuration.
     *
     * @param configuration source of the configuration in force
     */
    public Authenticator(ConfigurationSource configuration) {
        updateIndex(configuration.current());
        configuration.onChange(this::updateIndex);
    }

    /**
     * Returns the customer of a request, and rejects the request if its credential is unknown.
     *
     * @param context the request
     * @return the customer, empty if the request was rejected
     */
    public Optional<Customer> authenticate(RoutingContext context) {
        Optional<Customer> customer = findCustomer(context.request().getHeader("Authorization"));
        if (customer.isEmpty()) {
            CallerErrors.reject(
                    CallerResponse.of(context), HTTP_UNAUTHORIZED, "unauthorized", "the credential is not known");
        }
        return customer;
    }

    /**
     * Finds the customer of a credential.
     *
     * @param authorization value of the Authorization header, null if absent
     * @return the customer, empty if the credential is absent or unknown
     */
    public Optional<Customer> findCustomer(@Nullable String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            return Optional.empty();
        }
        String credential = authorization.substring(BEARER_PREFIX.length()).strip();
        String hash =
                Hashing.sha256().hashString(credential, StandardCharsets.UTF_8).toString();
        return Optional.ofNullable(customersByHash.get(hash));
    }

    private void updateIndex(Configuration configuration) {
        Map<String, Customer> index = new HashMap<>();
        for (Customer customer : configuration.customers().values()) {
            for (String hash : customer.credentialHashes()) {
                // The document may list a credential for several customers; all routers must then select the same one.
                index.merge(hash, customer, Authenticator::firstByName);
            }
        }
        customersByHash = index;
    }

    private static Customer firstByName(Customer one, Customer other) {
        return one.name().compareTo(other.name()) <= 0 ? one : other;
    }
}
