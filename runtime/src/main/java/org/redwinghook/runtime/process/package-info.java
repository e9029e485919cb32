/** Start, graceful stop and command line of a process. */
@NullMarked
package org.redwinghook.runtime.process;

import org.jspecify.annotations.NullMarked;
