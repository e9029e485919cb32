/** Framed MessagePack connections between the system's processes. */
@NullMarked
package org.redwinghook.runtime.wire;

import org.jspecify.annotations.NullMarked;
