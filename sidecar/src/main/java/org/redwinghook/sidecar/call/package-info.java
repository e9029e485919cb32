/** Calls to a plain service. */
@NullMarked
package org.redwinghook.sidecar.call;

import org.jspecify.annotations.NullMarked;
