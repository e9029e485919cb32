/** Stand-in for the platform's log service. */
@NullMarked
package org.redwinghook.standins.log;

import org.jspecify.annotations.NullMarked;
