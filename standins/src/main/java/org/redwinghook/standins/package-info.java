/** Stand-ins for the platform services and the back ends, for tests, measurements and the local deployment. */
@NullMarked
package org.redwinghook.standins;

import org.jspecify.annotations.NullMarked;
