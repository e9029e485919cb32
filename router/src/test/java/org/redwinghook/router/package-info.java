/** Tests of the router against sidecars in the test. */
@NullMarked
package org.redwinghook.router;

import org.jspecify.annotations.NullMarked;
