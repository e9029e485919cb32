/** The configuration in force, as the services of a process see it. */
@NullMarked
package org.redwinghook.runtime.config;

import org.jspecify.annotations.NullMarked;
