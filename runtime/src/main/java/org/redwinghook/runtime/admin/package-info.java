/** The operators' HTTP port of a process: metrics, health, readiness and state. */
@NullMarked
package org.redwinghook.runtime.admin;

import org.jspecify.annotations.NullMarked;
