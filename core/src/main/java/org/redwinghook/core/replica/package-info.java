/** Copies of the platform's keyed records that routers keep and pass on to each other. */
@NullMarked
package org.redwinghook.core.replica;

import org.jspecify.annotations.NullMarked;
