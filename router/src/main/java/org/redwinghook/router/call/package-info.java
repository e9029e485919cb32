/** Delivery of plain services' answers to callers. */
@NullMarked
package org.redwinghook.router.call;

import org.jspecify.annotations.NullMarked;
