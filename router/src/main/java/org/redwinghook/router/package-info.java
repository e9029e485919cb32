/** The entry process: takes callers' requests and routes them to sidecars. */
@NullMarked
package org.redwinghook.router;

import org.jspecify.annotations.NullMarked;
