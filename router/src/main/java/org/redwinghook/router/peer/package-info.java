/** Connections between routers. */
@NullMarked
package org.redwinghook.router.peer;

import org.jspecify.annotations.NullMarked;
