package org.redwinghook.core.config;

/** One entry of a section, as its kind reads it. */
public sealed interface SectionEntry permits Owner, Customer, Service, DataCentre, Link, AvailabilityEntry, RuleEntry {}
