/** Delivery of generations to callers. */
@NullMarked
package org.redwinghook.router.generation;

import org.jspecify.annotations.NullMarked;
