/** Stand-in for a plain service. */
@NullMarked
package org.redwinghook.standins.plain;

import org.jspecify.annotations.NullMarked;
