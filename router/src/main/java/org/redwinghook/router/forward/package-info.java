/** The edge that forwards requests by routes to endpoints that speak HTTP themselves. */
@NullMarked
package org.redwinghook.router.forward;

import org.jspecify.annotations.NullMarked;
