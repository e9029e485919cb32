package org.redwinghook.core.message;

import org.redwinghook.core.config.Withdrawal;

/**
 * Relays an operator's withdrawal to a peer.
 *
 * @param withdrawal the withdrawal
 * @param remainingMillis remaining validity; a duration, because the clocks of processes differ
 */
public record WithdrawalNotice(Withdrawal withdrawal, long remainingMillis) implements Message {}
