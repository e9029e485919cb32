/** How JSON objects are read and written. */
@NullMarked
package org.redwinghook.runtime.json;

import org.jspecify.annotations.NullMarked;
