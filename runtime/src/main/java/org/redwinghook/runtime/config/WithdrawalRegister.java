package org.redwinghook.runtime.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Withdrawal;
import org.redwinghook.core.message.WithdrawalNotice;

/** The withdrawals that hold in a process, until a newer version of their section is folded or their time is over. */
final class WithdrawalRegister {

    /** Longest time for which a withdrawal holds, in milliseconds: two hours. */
    static final long MAXIMUM_DURATION_MILLIS = 7_200_000;

    private final Map<Withdrawal, Long> expiryMillis = new LinkedHashMap<>();

    /**
     * Adds a withdrawal.
     *
     * @return whether it is new and restricts
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
     * Drops what no longer holds.
     *
     * @return whether anything was dropped
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
