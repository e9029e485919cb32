/** Usage counts of the endpoint. */
@NullMarked
package org.redwinghook.sidecar.usage;

import org.jspecify.annotations.NullMarked;
