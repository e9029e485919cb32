import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** Names and messages of the platform's protocol, from wire.properties. */
final class Wire {

    private static final Properties NAMES = load();

    private Wire() {}

    private static Properties load() {
        Properties names = new Properties();
        try (Reader reader =
                Files.newBufferedReader(Path.of("review", "stage", "wire.properties"), StandardCharsets.UTF_8)) {
            names.load(reader);
            return names;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns a name, or a message whose places in angle brackets take the values that follow their names. */
    static String text(String key, Object... values) {
        String text = NAMES.getProperty(key);
        if (text == null) {
            throw new IllegalArgumentException(key);
        }
        for (int index = 0; index < values.length; index += 2) {
            text = text.replace("<" + values[index] + ">", String.valueOf(values[index + 1]));
        }
        return text;
    }

    /** Fields of a request for a generation. */
    static String generation(int promptTokens, int outputTokens, String parts) {
        return text("generation", "prompt", promptTokens, "output", outputTokens, "parts", parts);
    }
}
