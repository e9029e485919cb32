/** HTTP server and helper classes that the stand-ins share. */
@NullMarked
package org.redwinghook.standins.http;

import org.jspecify.annotations.NullMarked;
