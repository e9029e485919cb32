/** Decides which command an engine gets next, from the desired and the reported state. */
@NullMarked
package org.redwinghook.core.engine;

import org.jspecify.annotations.NullMarked;
