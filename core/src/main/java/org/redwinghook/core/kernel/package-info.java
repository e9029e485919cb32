/** The micro-kernel: services of a process find each other by name. */
@NullMarked
package org.redwinghook.core.kernel;

import org.jspecify.annotations.NullMarked;
