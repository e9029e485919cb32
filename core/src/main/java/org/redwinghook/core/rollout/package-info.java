/** Roll-outs of a service's version: decisions without I/O or clock. */
@NullMarked
package org.redwinghook.core.rollout;

import org.jspecify.annotations.NullMarked;
