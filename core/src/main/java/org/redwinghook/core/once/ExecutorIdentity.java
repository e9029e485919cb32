package org.redwinghook.core.once;

/**
 * Identity of one incarnation of a sidecar. A restarted sidecar is another executor, since it does not know what the
 * previous incarnation sent.
 *
 * @param process name of the sidecar
 * @param incarnation number of this incarnation
 */
public record ExecutorIdentity(String process, long incarnation) {}
