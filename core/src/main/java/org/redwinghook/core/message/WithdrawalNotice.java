package org.redwinghook.core.message;

import org.redwinghook.core.config.Withdrawal;

/**
 * Passes an operator's withdrawal on.
 *
 * @param withdrawal the withdrawal
 * @param remainingMillis time for which it still holds; a duration, as the clocks of processes differ
 */
public record WithdrawalNotice(Withdrawal withdrawal, long remainingMillis) implements Message {}
