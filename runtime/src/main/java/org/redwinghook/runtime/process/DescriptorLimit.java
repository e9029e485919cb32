package org.redwinghook.runtime.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Maximum number of open files of this process. */
public final class DescriptorLimit {

    /** Used where the operating system does not tell the limit. */
    private static final long UNKNOWN_LIMIT = 1_024;

    /** More than a process opens, where there is no limit. */
    private static final long MAXIMUM_LIMIT = 1_048_576;

    private static final String UNLIMITED = "unlimited";
    private static final String NAME = "Max open files";

    private DescriptorLimit() {}

    /**
     * Reads the limit.
     *
     * @return the number of files
     */
    public static long read() {
        try {
            return Files.readAllLines(Path.of("/proc/self/limits")).stream()
                    .filter(line -> line.startsWith(NAME))
                    .map(line -> line.substring(NAME.length()).trim().split("\\s+")[0])
                    .filter(limit -> limit.equals(UNLIMITED) || limit.chars().allMatch(Character::isDigit))
                    .mapToLong(limit -> limit.equals(UNLIMITED) ? MAXIMUM_LIMIT : Long.parseLong(limit))
                    .findFirst()
                    .orElse(UNKNOWN_LIMIT);
        } catch (IOException exception) {
            return UNKNOWN_LIMIT;
        }
    }
}
