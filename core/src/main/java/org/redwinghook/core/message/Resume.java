package org.redwinghook.core.message;

/**
 * Asks a sidecar for the tokens of a known generation after a sequence number.
 *
 * @param exchange number of the new exchange
 * @param generation identifier from an earlier accepted message
 * @param afterSequence sequence number of the last token that the caller has received
 * @param customer customer of the resuming caller; must be the one that started the generation
 * @param credit number of tokens that the sidecar may send before it receives further credit
 */
public record Resume(long exchange, String generation, long afterSequence, String customer, int credit)
        implements Message {}
