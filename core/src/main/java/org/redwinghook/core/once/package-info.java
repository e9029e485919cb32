/** Runs calls with idempotency keys at most once, coordinated by intents and outcomes in log order. */
@NullMarked
package org.redwinghook.core.once;

import org.jspecify.annotations.NullMarked;
