package org.redwinghook.runtime.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Withdrawal;
import org.redwinghook.core.message.WithdrawalNotice;

/**
 * The withdrawals in force in a process. Each ends when a newer version of its section is folded or when it expires.
 */
final class WithdrawalRegister {

    /** Maximum time for which a withdrawal is in force, in milliseconds: two hours. */
    static final long MAXIMUM_DURATION_MILLIS = 7_200_000;

    private final Map<Withdrawal, Long> expiryMillis = new LinkedHashMap<>();

    /**
     * Adds a withdrawal.
     *
     * @return whether it was added; false if it is known, has expired or is superseded by a newer version of its
     *     section
     */
    boolean add(Withdrawal withdrawal, long remainingMillis, long nowMillis, Configuration folded) {
        if (remainingMillis <= 0
                || folded.version(withdrawal.section()).version() > withdrawal.basedOn()
                || expiryMillis.containsKey(withdrawal)) {
            return false;
        }
        expiryMillis.put(withdrawal, nowMillis + Math.min(remainingMillis, MAXIMUM_DURATION_MILLIS));
        return true;
    }

    /**
     * Removes withdrawals that have expired or are superseded by a newer version of their section.
     *
     * @return whether any withdrawal was removed
     */
    boolean removeExpired(long nowMillis, Configuration folded) {
        return expiryMillis
                .entrySet()
                .removeIf(entry -> entry.getValue() <= nowMillis
                        || folded.version(entry.getKey().section()).version()
                                > entry.getKey().basedOn());
    }

    List<Withdrawal> list() {
        return List.copyOf(expiryMillis.keySet());
    }

    List<WithdrawalNotice> createNotices(long nowMillis) {
        return expiryMillis.entrySet().stream()
                .map(entry -> new WithdrawalNotice(entry.getKey(), entry.getValue() - nowMillis))
                .toList();
    }
}
