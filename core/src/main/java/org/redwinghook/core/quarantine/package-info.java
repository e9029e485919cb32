/** Quarantine of prompt parts that crash endpoints: decisions without I/O or clock. */
@NullMarked
package org.redwinghook.core.quarantine;

import org.jspecify.annotations.NullMarked;
