/** Delivery of the answers of plain services to callers. */
@NullMarked
package org.redwinghook.router.call;

import org.jspecify.annotations.NullMarked;
