/** Real processes and stand-ins in one JVM, callers that record histories, and seeded schedules of faults. */
@NullMarked
package org.redwinghook.systemtests.deployment;

import org.jspecify.annotations.NullMarked;
