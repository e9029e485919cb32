package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.rollout.RolloutStatus;

/**
 * The newest status of a service's roll-outs.
 *
 * @param status the status, null if there is none or it is unreadable
 * @param offset offset of its record, -1 if there is none
 * @param endOffset offset at which the next record of the topic is appended
 * @param era era of the store that the offsets belong to, 0 if the store has named none
 */
public record RolloutStatusPage(@Nullable RolloutStatus status, long offset, long endOffset, long era) {}
