package org.redwinghook.runtime.http;

import java.util.function.Consumer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;

/** Reads the data fields of a stream of server-sent events. */
public final class ServerSentEvents implements Handler<Buffer> {

    private static final String DATA_FIELD = "data:";
    private static final int LARGEST_LINE_BYTES = 1024 * 1024;

    private final RecordParser lines;

    /**
     * Creates a reader.
     *
     * @param onData receives the text of each data field
     */
    public ServerSentEvents(Consumer<String> onData) {
        this.lines = RecordParser.newDelimited("\n", line -> {
            String text = line.toString();
            if (text.startsWith(DATA_FIELD)) {
                onData.accept(text.substring(DATA_FIELD.length()).strip());
            }
        });
        lines.maxRecordSize(LARGEST_LINE_BYTES);
    }

    @Override
    public void handle(Buffer chunk) {
        lines.handle(chunk);
    }
}
