/** Decides which requests wait in a router while capacity is short, in which order they are sent, and where to. */
@NullMarked
package org.redwinghook.core.dispatch;

import org.jspecify.annotations.NullMarked;
