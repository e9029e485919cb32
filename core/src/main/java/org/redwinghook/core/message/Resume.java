package org.redwinghook.core.message;

/**
 * Asks a sidecar for the tokens of a known generation after a sequence number.
 *
 * @param exchange number of the new exchange
 * @param generation identifier from an earlier accepted message
 * @param afterSequence last token that the caller has
 * @param customer customer of the resuming caller; must be the one that started the generation
 * @param credit tokens that the router takes before it grants more
 */
public record Resume(long exchange, String generation, long afterSequence, String customer, int credit)
        implements Message {}
