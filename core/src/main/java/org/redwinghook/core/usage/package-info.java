/** Usage counts of both sides, their fold and the bill. */
@NullMarked
package org.redwinghook.core.usage;

import org.jspecify.annotations.NullMarked;
