/** Clients of the platform: the log service and the VM list. */
@NullMarked
package org.redwinghook.runtime.platform;

import org.jspecify.annotations.NullMarked;
