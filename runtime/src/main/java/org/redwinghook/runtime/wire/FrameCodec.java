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
import org.redwinghook.core.receive.ReceiveLimits;

/**
 * Encodes messages as frames and decodes them. A frame is the length of its body in four bytes in network byte order,
 * followed by the body, a message in MessagePack format.
 */
public final class FrameCodec {

    /** Size of the fields of a message beside the body of a call or an answer that it carries, in bytes. */
    private static final int ENVELOPE_BYTES = 64 * 1024;

    /** Maximum length of the body of a frame, in bytes. */
    public static final int MAXIMUM_BODY_BYTES = ReceiveLimits.MAXIMUM_MESSAGE_BYTES + ENVELOPE_BYTES;

    /** Size of the length field at the start of each frame, in bytes. */
    public static final int LENGTH_BYTES = 4;

    /** Created with the first frame, as creating it takes a large part of the processor time of a start. */
    private final Lazy<ObjectMapper> mapper = Lazy.of(() ->
            new ObjectMapper(new MessagePackFactory()).disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES));

    /**
     * Encodes a message as a frame.
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
     * @param body the frame without the length field
     * @return the message, or a failure if the type of the message is unknown or the frame is corrupt
     */
    public Try<Message> decode(Buffer body) {
        return Try.of(() -> mapper.get().readValue(body.getBytes(), Message.class));
    }
}
