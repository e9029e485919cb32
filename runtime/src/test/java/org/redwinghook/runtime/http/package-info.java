@NullMarked
package org.redwinghook.runtime.http;

import org.jspecify.annotations.NullMarked;
