/** Admission control at one endpoint: which requests run now, which wait and which are refused. */
@NullMarked
package org.redwinghook.core.admission;

import org.jspecify.annotations.NullMarked;
