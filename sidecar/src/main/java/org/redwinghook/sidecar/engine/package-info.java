/** Client of the model engine. */
@NullMarked
package org.redwinghook.sidecar.engine;

import org.jspecify.annotations.NullMarked;
