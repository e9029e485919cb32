package common3;

import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** Names and messages of the users' platform, which stand in a file of their own. */
public final class Names {

    private static final Properties NAMES = load();

    private Names() {}

    /** A name. */
    public static String of(String key) {
        return NAMES.getProperty(key);
    }

    /**
     * A message.
     *
     * @param key its key
     * @param fields names and values of its fields, in turn
     */
    public static String message(String key, Object... fields) {
        String text = of(key);
        for (int index = 0; index < fields.length; index += 2) {
            text = text.replace("<" + fields[index] + ">", String.valueOf(fields[index + 1]));
        }
        return text;
    }

    private static Properties load() {
        Properties names = new Properties();
        try (Reader reader = Files.newBufferedReader(Path.of("review/common3/names.properties"))) {
            names.load(reader);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return names;
    }
}
