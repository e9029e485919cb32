/** The admin port of a process, which serves metrics, health, readiness and state to operators over HTTP. */
@NullMarked
package org.redwinghook.runtime.admin;

import org.jspecify.annotations.NullMarked;
