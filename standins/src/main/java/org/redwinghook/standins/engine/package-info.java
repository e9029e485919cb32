/** Stand-in for a model engine. */
@NullMarked
package org.redwinghook.standins.engine;

import org.jspecify.annotations.NullMarked;
