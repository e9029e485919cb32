/** Reporting of usage counts to the log. */
@NullMarked
package org.redwinghook.runtime.usage;

import org.jspecify.annotations.NullMarked;
