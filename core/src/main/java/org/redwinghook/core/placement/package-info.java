/** Choice of an endpoint for a request, from this router's and its peers' running work. */
@NullMarked
package org.redwinghook.core.placement;

import org.jspecify.annotations.NullMarked;
