package org.redwinghook.core.config;

import java.util.List;

/**
 * A link between two regions.
 *
 * @param name name of the link
 * @param between the two regions
 * @param megabitsPerSecond capacity in each direction, shared by all traffic, in megabits per second
 */
public record Link(String name, List<String> between, double megabitsPerSecond) implements SectionEntry {

    public Link {
        between = List.copyOf(between);
    }
}
