/** Usage counts of routers and sidecars, their sums over all processes and the comparison of both sides. */
@NullMarked
package org.redwinghook.core.usage;

import org.jspecify.annotations.NullMarked;
