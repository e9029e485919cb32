/** Calls to the endpoint of a plain service. */
@NullMarked
package org.redwinghook.sidecar.call;

import org.jspecify.annotations.NullMarked;
