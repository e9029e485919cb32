/** Routes, customers' keys and endpoints that a router forwards requests by. */
@NullMarked
package org.redwinghook.core.forward;

import org.jspecify.annotations.NullMarked;
