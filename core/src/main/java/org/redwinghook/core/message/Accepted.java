package org.redwinghook.core.message;

/**
 * A sidecar admitted a generation or found the one to resume.
 *
 * @param exchange exchange of the request
 * @param generation identifier of the generation
 */
public record Accepted(long exchange, String generation) implements Message {}
