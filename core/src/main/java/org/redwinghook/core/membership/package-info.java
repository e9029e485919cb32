/** Which processes exist, and which of them are leaving. */
@NullMarked
package org.redwinghook.core.membership;

import org.jspecify.annotations.NullMarked;
