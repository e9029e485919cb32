/** Tests of request limits. */
@NullMarked
package org.redwinghook.router.limit;

import org.jspecify.annotations.NullMarked;
