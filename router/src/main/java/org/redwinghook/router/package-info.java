/** The router process: accepts callers' requests and forwards them to sidecars. */
@NullMarked
package org.redwinghook.router;

import org.jspecify.annotations.NullMarked;
