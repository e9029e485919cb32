/** Stand-in for the platform's VM list. */
@NullMarked
package org.redwinghook.standins.vmlist;

import org.jspecify.annotations.NullMarked;
