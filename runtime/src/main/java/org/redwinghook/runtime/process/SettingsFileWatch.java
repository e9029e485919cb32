package org.redwinghook.runtime.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/** Detects changes of a settings file by its attributes, without reading it. Safe for use by several threads. */
final class SettingsFileWatch {

    private final Path file;
    private String lastSeen;

    SettingsFileWatch(Path file) {
        this.file = file;
        this.lastSeen = attributes();
    }

    /**
     * Whether the file has changed since the last call.
     *
     * @return false if it is unchanged or missing
     */
    synchronized boolean hasChanged() {
        String now = attributes();
        if (now.isEmpty() || now.equals(lastSeen)) {
            return false;
        }
        lastSeen = now;
        return true;
    }

    private String attributes() {
        try {
            BasicFileAttributes read = Files.readAttributes(file, BasicFileAttributes.class);
            return read.lastModifiedTime() + " " + read.size() + " " + read.fileKey();
        } catch (IOException exception) {
            // The file may be missing while it is replaced; the settings in force stay.
            return "";
        }
    }
}
