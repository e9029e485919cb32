package org.redwinghook.core.document;

/**
 * Something wrong in a document.
 *
 * @param file name of the document
 * @param line line, counted from 1; 0 if the finding has no single line
 * @param column column, counted from 1; 0 if the finding has no single column
 * @param key path of keys that leads to the value, separated by dots
 * @param problem what is wrong
 */
public record Finding(String file, int line, int column, String key, String problem) {

    @Override
    public String toString() {
        String place = line > 0 ? file + ":" + line + ":" + column : file;
        return key.isEmpty() ? place + ": " + problem : place + ": " + key + ": " + problem;
    }
}
