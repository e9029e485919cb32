/** Sidecar process, which runs beside each endpoint and admits its work. */
@NullMarked
package org.redwinghook.sidecar;

import org.jspecify.annotations.NullMarked;
