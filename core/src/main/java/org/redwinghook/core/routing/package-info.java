/** Selection of an endpoint for a request. */
@NullMarked
package org.redwinghook.core.routing;

import org.jspecify.annotations.NullMarked;
