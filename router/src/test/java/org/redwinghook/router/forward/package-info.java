/** Unit tests of forwarding; the assembled router is tested through the adapter in the module platform. */
@NullMarked
package org.redwinghook.router.forward;

import org.jspecify.annotations.NullMarked;
