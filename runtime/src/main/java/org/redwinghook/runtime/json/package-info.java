/** JSON support for Vert.x. */
@NullMarked
package org.redwinghook.runtime.json;

import org.jspecify.annotations.NullMarked;
