package org.redwinghook.core.once;

/**
 * One start of one sidecar. A restarted sidecar is another executor, since it does not know what its predecessor sent.
 *
 * @param process name of the sidecar
 * @param incarnation number of this start
 */
public record ExecutorIdentity(String process, long incarnation) {}
