/** Input and output around the decisions about keyed calls: log, other executors, claims of callers. */
@NullMarked
package org.redwinghook.sidecar.once;

import org.jspecify.annotations.NullMarked;
