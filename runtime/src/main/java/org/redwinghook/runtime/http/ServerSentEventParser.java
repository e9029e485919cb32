package org.redwinghook.runtime.http;

import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import org.redwinghook.core.receive.ReceiveLimits;

/** Parses the data fields of a stream of server-sent events. */
public final class ServerSentEventParser {

    private static final String DATA_FIELD = "data:";

    private final RecordParser lineParser;
    private int lines;

    /**
     * Creates a parser.
     *
     * @param onData called with the text of each data field
     */
    public ServerSentEventParser(Consumer<String> onData) {
        this.lineParser = RecordParser.newDelimited("\n", line -> {
            lines++;
            String text = line.toString();
            if (text.startsWith(DATA_FIELD)) {
                onData.accept(text.substring(DATA_FIELD.length()).strip());
            }
        });
        lineParser.maxRecordSize(ReceiveLimits.MAXIMUM_MESSAGE_BYTES);
    }

    /**
     * Parses the next bytes of the stream.
     *
     * @param chunk the bytes
     * @return number of lines that these bytes complete
     */
    public int handle(Buffer chunk) {
        lines = 0;
        lineParser.handle(chunk);
        return lines;
    }
}
