/** Histories of concurrent runs and the checks of the guarantees on them. */
@NullMarked
package org.redwinghook.systemtests.history;

import org.jspecify.annotations.NullMarked;
