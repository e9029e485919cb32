/** A TCP relay that injects network faults between processes. */
@NullMarked
package org.redwinghook.standins.relay;

import org.jspecify.annotations.NullMarked;
