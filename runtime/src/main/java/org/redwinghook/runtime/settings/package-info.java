/** Settings of a process, read from YAML. */
@NullMarked
package org.redwinghook.runtime.settings;

import org.jspecify.annotations.NullMarked;
