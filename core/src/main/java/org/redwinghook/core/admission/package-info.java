/** Admission control at one endpoint: what runs now, what waits and what is refused. */
@NullMarked
package org.redwinghook.core.admission;

import org.jspecify.annotations.NullMarked;
