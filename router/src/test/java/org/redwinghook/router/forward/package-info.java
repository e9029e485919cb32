/** Tests of the forwarding edge's parts; the whole edge is tested through the adapter in the module platform. */
@NullMarked
package org.redwinghook.router.forward;

import org.jspecify.annotations.NullMarked;
