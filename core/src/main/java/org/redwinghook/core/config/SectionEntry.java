package org.redwinghook.core.config;

/** Typed value of one entry of a section. */
public sealed interface SectionEntry permits Owner, Customer, Service, DataCentre, Link, AvailabilityEntry, RuleEntry {}
