/** Learning of output lengths. */
@NullMarked
package org.redwinghook.core.length;

import org.jspecify.annotations.NullMarked;
