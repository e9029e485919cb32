/** Measures the resource usage of routers and sidecars, and writes the tables of docs/CAPACITY.md. */
@NullMarked
package org.redwinghook.experiments.capacity;

import org.jspecify.annotations.NullMarked;
