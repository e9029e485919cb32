/** Numbered tokens of a generation and their delivery once and in order. */
@NullMarked
package org.redwinghook.core.stream;

import org.jspecify.annotations.NullMarked;
