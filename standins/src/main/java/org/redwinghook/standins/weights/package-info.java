/** Stand-in of the weight store. */
@NullMarked
package org.redwinghook.standins.weights;

import org.jspecify.annotations.NullMarked;
