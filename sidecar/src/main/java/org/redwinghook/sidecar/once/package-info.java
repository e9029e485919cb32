/**
 * At-most-once execution of keyed calls, which are non-idempotent calls with an idempotency key: access to the log,
 * questions to other executors, claims of callers. An executor is one start of a sidecar.
 */
@NullMarked
package org.redwinghook.sidecar.once;

import org.jspecify.annotations.NullMarked;
