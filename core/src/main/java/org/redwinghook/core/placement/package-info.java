/** Choice of an endpoint for a request by the work that this router and its peers run at each endpoint. */
@NullMarked
package org.redwinghook.core.placement;

import org.jspecify.annotations.NullMarked;
