/** Software versions at which streams began, for streams that are resumed: decisions without I/O or clock. */
@NullMarked
package org.redwinghook.core.origin;

import org.jspecify.annotations.NullMarked;
