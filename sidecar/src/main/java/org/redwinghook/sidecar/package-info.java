/** The process beside one endpoint. */
@NullMarked
package org.redwinghook.sidecar;

import org.jspecify.annotations.NullMarked;
