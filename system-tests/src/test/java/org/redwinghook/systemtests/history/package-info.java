/** Histories of concurrent test runs and the checkers that verify the guarantees on them. */
@NullMarked
package org.redwinghook.systemtests.history;

import org.jspecify.annotations.NullMarked;
