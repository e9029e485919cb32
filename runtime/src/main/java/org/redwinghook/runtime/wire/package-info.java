/** Connections between processes, on which messages are sent as frames in MessagePack format. */
@NullMarked
package org.redwinghook.runtime.wire;

import org.jspecify.annotations.NullMarked;
