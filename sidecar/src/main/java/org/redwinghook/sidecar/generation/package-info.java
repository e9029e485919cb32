/** Generations at the endpoint's engine, and their token streams to routers. */
@NullMarked
package org.redwinghook.sidecar.generation;

import org.jspecify.annotations.NullMarked;
