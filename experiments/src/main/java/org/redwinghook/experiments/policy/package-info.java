/** Trace replay in virtual time on the decision code of admission and routing. */
@NullMarked
package org.redwinghook.experiments.policy;

import org.jspecify.annotations.NullMarked;
