package org.redwinghook.core.config;

/**
 * An owner of the deployment.
 *
 * @param name name of the owner
 * @param weight weight of the owner's share of contended endpoints relative to other owners
 */
public record Owner(String name, double weight) implements SectionEntry {}
