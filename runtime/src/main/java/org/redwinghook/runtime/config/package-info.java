/** Reading, publishing and exchanging the configuration. */
@NullMarked
package org.redwinghook.runtime.config;

import org.jspecify.annotations.NullMarked;
