/** Replicas of the platform's keyed records, which routers relay to each other. */
@NullMarked
package org.redwinghook.core.replica;

import org.jspecify.annotations.NullMarked;
