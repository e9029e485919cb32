/** Usage counts of the endpoint's work. */
@NullMarked
package org.redwinghook.sidecar.usage;

import org.jspecify.annotations.NullMarked;
