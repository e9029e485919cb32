/** Plans the commands to engines from their desired and reported states. */
@NullMarked
package org.redwinghook.core.engine;

import org.jspecify.annotations.NullMarked;
