/** Routes, API keys of customers and registered endpoints, which determine how a router forwards requests. */
@NullMarked
package org.redwinghook.core.forward;

import org.jspecify.annotations.NullMarked;
