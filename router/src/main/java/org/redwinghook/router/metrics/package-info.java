/** Counters and timers of a router. */
@NullMarked
package org.redwinghook.router.metrics;

import org.jspecify.annotations.NullMarked;
