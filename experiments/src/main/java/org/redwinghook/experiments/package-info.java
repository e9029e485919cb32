/** Entry point of the experiments on the decision code. */
@NullMarked
package org.redwinghook.experiments;

import org.jspecify.annotations.NullMarked;
