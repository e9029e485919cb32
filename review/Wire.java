import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** Names and messages of the users' platform, from a file, as they stand in no source outside the adapter. */
final class Wire {

    private static final Path FILE = Path.of("review/wire.properties");
    private static final Properties TEXTS = load();

    static final String OPERATORS = text("topic.operators");
    static final String ENDPOINTS = text("topic.endpoints");
    static final String REQUEST_ID = text("header.request");
    static final String SIGNATURE = text("header.signature");
    static final String DEADLINE = text("header.deadline");
    static final String CUSTOMER = text("header.customer");
    static final String EXPECTED_ENDPOINT = text("header.expected");
    static final String LOAD = text("header.load");
    static final String IDENTITY = text("header.identity");
    static final String MODEL = text("header.model");
    static final String TOKENS = text("header.tokens");
    static final String PROMPT_PARTS = text("header.prompt");
    static final String SNAPSHOT_CALL = text("call.snapshot");
    static final String READ_CALL = text("call.read");
    static final String APPEND_CALL = text("call.append");

    private Wire() {}

    /**
     * Fills a message.
     *
     * @param message name of the message in the file
     * @param values names of its fields, each followed by its value
     */
    static String fill(String message, Object... values) {
        String filled = text(message);
        for (int index = 0; index < values.length; index += 2) {
            filled = filled.replace("<" + values[index] + ">", String.valueOf(values[index + 1]));
        }
        return filled;
    }

    private static String text(String name) {
        String text = TEXTS.getProperty(name);
        if (text == null) {
            throw new IllegalArgumentException(FILE + " has no " + name);
        }
        return text;
    }

    private static Properties load() {
        Properties texts = new Properties();
        try (Reader reader = Files.newBufferedReader(FILE)) {
            texts.load(reader);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return texts;
    }
}
