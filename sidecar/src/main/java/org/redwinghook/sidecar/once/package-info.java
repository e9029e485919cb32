/** At-most-once execution of keyed calls: access to the log, questions to other executors, claims of callers. */
@NullMarked
package org.redwinghook.sidecar.once;

import org.jspecify.annotations.NullMarked;
