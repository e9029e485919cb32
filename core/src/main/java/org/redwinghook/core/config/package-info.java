/** The configuration that operators write: its typed model and how it is read from documents. */
@NullMarked
package org.redwinghook.core.config;

import org.jspecify.annotations.NullMarked;
