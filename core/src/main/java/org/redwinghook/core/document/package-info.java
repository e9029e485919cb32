/** Reads YAML documents with the position of each value, so that all findings can be reported together. */
@NullMarked
package org.redwinghook.core.document;

import org.jspecify.annotations.NullMarked;
