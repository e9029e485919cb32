/** Limits and usage counts of requests by customer. */
@NullMarked
package org.redwinghook.router.limit;

import org.jspecify.annotations.NullMarked;
