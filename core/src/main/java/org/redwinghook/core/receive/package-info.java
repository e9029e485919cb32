/** Limits on what other processes may send. */
@NullMarked
package org.redwinghook.core.receive;

import org.jspecify.annotations.NullMarked;
