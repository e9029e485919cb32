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
    static final long LONGEST_MILLIS = 7_200_000;

    private final Map<Withdrawal, Long> ends = new LinkedHashMap<>();

    /**
     * Adds a withdrawal.
     *
     * @return whether it is new and restricts
     */
    boolean add(Withdrawal withdrawal, long remainingMillis, long nowMillis, Configuration folded) {
        if (remainingMillis <= 0
                || folded.version(withdrawal.section()).version() > withdrawal.basedOn()
                || ends.containsKey(withdrawal)) {
            return false;
        }
        ends.put(withdrawal, nowMillis + Math.min(remainingMillis, LONGEST_MILLIS));
        return true;
    }

    /**
     * Drops what no longer holds.
     *
     * @return whether anything was dropped
     */
    boolean expire(long nowMillis, Configuration folded) {
        return ends.entrySet()
                .removeIf(entry -> entry.getValue() <= nowMillis
                        || folded.version(entry.getKey().section()).version()
                                > entry.getKey().basedOn());
    }

    List<Withdrawal> list() {
        return List.copyOf(ends.keySet());
    }

    List<WithdrawalNotice> notices(long nowMillis) {
        return ends.entrySet().stream()
                .map(entry -> new WithdrawalNotice(entry.getKey(), entry.getValue() - nowMillis))
                .toList();
    }
}
