/** Command line, start, graceful stop and logging of a process. */
@NullMarked
package org.redwinghook.runtime.process;

import org.jspecify.annotations.NullMarked;
