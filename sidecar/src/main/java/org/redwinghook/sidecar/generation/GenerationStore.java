package org.redwinghook.sidecar.generation;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/** Retained generations by identifier. */
public final class GenerationStore {

    private final String identifierPrefix;
    private final Map<String, Generation> generations = new HashMap<>();
    private long lastNumber;

    /**
     * Creates an empty store.
     *
     * @param process name of the sidecar
     * @param incarnation identifies this start of the sidecar
     */
    public GenerationStore(String process, long incarnation) {
        this.identifierPrefix = process + "." + Long.toHexString(incarnation) + ".";
    }

    /**
     * Creates a generation with a new identifier.
     *
     * @param owner owner of the customer
     * @param customer customer that starts the generation
     * @param promptTokens prompt length in tokens
     * @param requestIdentifier identifier of the admitted request
     * @return the generation
     */
    public Generation create(String owner, String customer, int promptTokens, long requestIdentifier) {
        lastNumber++;
        Generation generation =
                new Generation(identifierPrefix + lastNumber, owner, customer, promptTokens, requestIdentifier);
        generations.put(generation.identifier(), generation);
        return generation;
    }

    /**
     * Finds a generation of a customer.
     *
     * @param identifier identifier of the generation
     * @param customer customer that resumes the generation
     * @return the generation, null if it is unknown or belongs to another customer
     */
    public @Nullable Generation find(String identifier, String customer) {
        Generation generation = generations.get(identifier);
        return generation != null && generation.customer().equals(customer) ? generation : null;
    }

    /**
     * Removes a generation.
     *
     * @param generation the generation
     */
    public void remove(Generation generation) {
        generations.remove(generation.identifier());
    }

    /**
     * All retained generations.
     *
     * @return an unmodifiable view of the generations
     */
    public Collection<Generation> all() {
        return Collections.unmodifiableCollection(generations.values());
    }
}
