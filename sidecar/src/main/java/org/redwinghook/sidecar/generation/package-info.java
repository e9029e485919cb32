/** Generations of the endpoint's engine and their tokens. */
@NullMarked
package org.redwinghook.sidecar.generation;

import org.jspecify.annotations.NullMarked;
