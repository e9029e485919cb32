/** Connections from routers, and the gate that admits their requests to the endpoint. */
@NullMarked
package org.redwinghook.sidecar.peer;

import org.jspecify.annotations.NullMarked;
