/** Connections to sidecars and the view of their load. */
@NullMarked
package org.redwinghook.router.endpoint;

import org.jspecify.annotations.NullMarked;
