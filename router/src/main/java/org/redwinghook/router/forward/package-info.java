/** Forwards callers' requests by route to endpoints that serve HTTP themselves. */
@NullMarked
package org.redwinghook.router.forward;

import org.jspecify.annotations.NullMarked;
