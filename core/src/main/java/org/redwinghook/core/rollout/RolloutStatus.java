package org.redwinghook.core.rollout;

/**
 * Status of a roll-out as the store has it.
 *
 * @param state its state
 * @param to the version
 */
public record RolloutStatus(RolloutState state, String to) {}
