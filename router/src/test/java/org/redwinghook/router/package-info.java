/** Tests of the router with fake sidecars. */
@NullMarked
package org.redwinghook.router;

import org.jspecify.annotations.NullMarked;
