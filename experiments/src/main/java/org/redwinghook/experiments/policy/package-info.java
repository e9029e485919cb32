/** Replays request traces in virtual time against the production code for admission and routing. */
@NullMarked
package org.redwinghook.experiments.policy;

import org.jspecify.annotations.NullMarked;
