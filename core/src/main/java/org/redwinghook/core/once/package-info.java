/** Execution of keyed calls at most once: intents and outcomes in log order. */
@NullMarked
package org.redwinghook.core.once;

import org.jspecify.annotations.NullMarked;
