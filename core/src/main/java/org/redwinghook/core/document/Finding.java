package org.redwinghook.core.document;

/**
 * A problem found in a document.
 *
 * @param file name of the document
 * @param line line, counted from 1; 0 if the finding has no single line
 * @param column column, counted from 1; 0 if the finding has no single column
 * @param key path of the value: its keys from the root, separated by dots
 * @param problem what is wrong
 */
public record Finding(String file, int line, int column, String key, String problem) {

    @Override
    public String toString() {
        String position = line > 0 ? file + ":" + line + ":" + column : file;
        return key.isEmpty() ? position + ": " + problem : position + ": " + key + ": " + problem;
    }
}
