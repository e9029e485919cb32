/** The callers' HTTP port. */
@NullMarked
package org.redwinghook.router.caller;

import org.jspecify.annotations.NullMarked;
