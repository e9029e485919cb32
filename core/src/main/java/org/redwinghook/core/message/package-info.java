/** Messages between processes. Each is an immutable record; the runtime module encodes them as MessagePack. */
@NullMarked
package org.redwinghook.core.message;

import org.jspecify.annotations.NullMarked;
