/** Sessions of routers. */
@NullMarked
package org.redwinghook.sidecar.peer;

import org.jspecify.annotations.NullMarked;
