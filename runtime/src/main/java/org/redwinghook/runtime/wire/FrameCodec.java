package org.redwinghook.runtime.wire;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.Lazy;
import io.vavr.control.Try;
import io.vertx.core.buffer.Buffer;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.redwinghook.core.message.Message;

/** Encodes messages as frames: a length of four bytes in network order, then one MessagePack map. */
public final class FrameCodec {

    /** Largest frame body, in bytes. */
    public static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

    /** Bytes of the length in front of each frame. */
    public static final int LENGTH_BYTES = 4;

    /** Made with the first frame: it takes a large part of a start's processor time. */
    private final Lazy<ObjectMapper> mapper = Lazy.of(() ->
            new ObjectMapper(new MessagePackFactory()).disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES));

    /**
     * Encodes a message with its length.
     *
     * @param message the message
     * @return the frame
     */
    public Buffer encode(Message message) {
        try {
            byte[] body = mapper.get().writerFor(Message.class).writeValueAsBytes(message);
            return Buffer.buffer(LENGTH_BYTES + body.length)
                    .appendInt(body.length)
                    .appendBytes(body);
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot encode " + message.getClass().getSimpleName(), exception);
        }
    }

    /**
     * Decodes the body of a frame.
     *
     * @param body the frame without its length
     * @return the message, or a failure for a message of an unknown type or a damaged frame
     */
    public Try<Message> decode(Buffer body) {
        return Try.of(() -> mapper.get().readValue(body.getBytes(), Message.class));
    }
}
