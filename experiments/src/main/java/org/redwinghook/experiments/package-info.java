/** Entry point of the experiments on admission and routing. */
@NullMarked
package org.redwinghook.experiments;

import org.jspecify.annotations.NullMarked;
