/** HTTP server for callers. */
@NullMarked
package org.redwinghook.router.caller;

import org.jspecify.annotations.NullMarked;
