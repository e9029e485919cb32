/** The command {@code redwinghook}, with which operators read and change the configuration and inspect processes. */
@NullMarked
package org.redwinghook.operator;

import org.jspecify.annotations.NullMarked;
