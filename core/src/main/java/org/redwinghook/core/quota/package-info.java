/** Limits of customers: buckets of the owner router, leases of the others. */
@NullMarked
package org.redwinghook.core.quota;

import org.jspecify.annotations.NullMarked;
