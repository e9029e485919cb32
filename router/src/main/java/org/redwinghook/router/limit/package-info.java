/** Request limits and usage counts of customers. */
@NullMarked
package org.redwinghook.router.limit;

import org.jspecify.annotations.NullMarked;
