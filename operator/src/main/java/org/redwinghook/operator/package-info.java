/** The operators' command. */
@NullMarked
package org.redwinghook.operator;

import org.jspecify.annotations.NullMarked;
