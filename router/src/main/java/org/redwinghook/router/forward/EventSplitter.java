package org.redwinghook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;

/** Splits a stream of server-sent events into complete events without changing their bytes. */
final class EventSplitter {

    private static final String ID_FIELD = "id:";

    private Buffer pending = Buffer.buffer();

    /**
     * An event.
     *
     * @param bytes bytes of the event, including the empty line at its end
     * @param id identifier of the event, null if it has none
     */
    record Event(Buffer bytes, @Nullable String id) {}

    /**
     * Adds the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return events that these bytes complete
     */
    List<Event> add(Buffer bytes) {
        pending.appendBuffer(bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        int lineStart = 0;
        for (int index = 0; index < pending.length(); index++) {
            if (pending.getByte(index) != '\n') {
                continue;
            }
            boolean empty = index == lineStart || (index == lineStart + 1 && pending.getByte(lineStart) == '\r');
            lineStart = index + 1;
            if (empty) {
                Buffer event = pending.getBuffer(start, lineStart);
                events.add(new Event(event, id(event)));
                start = lineStart;
            }
        }
        pending = pending.getBuffer(start, pending.length());
        return events;
    }

    /**
     * Whether the bytes so far end within an event.
     *
     * @return true if the rest of an event is missing
     */
    boolean hasPartialEvent() {
        return pending.length() > 0;
    }

    private static @Nullable String id(Buffer event) {
        for (String line : event.toString(StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                return line.substring(ID_FIELD.length()).strip();
            }
        }
        return null;
    }
}
