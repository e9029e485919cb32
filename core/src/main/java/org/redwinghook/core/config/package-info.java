/** Configuration written by operators: its typed model, the parsing of documents and the fold of the log's records. */
@NullMarked
package org.redwinghook.core.config;

import org.jspecify.annotations.NullMarked;
