package org.redwinghook.runtime.http;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

/** Reads the framing of a chunked body and collects the data of its chunks. */
final class ChunkScan {

    /** Maximum length of the line before a chunk, in bytes. */
    private static final int MAXIMUM_SIZE_LINE_BYTES = 1_024;

    private static final int HEXADECIMAL = 16;

    /** Largest size that one more digit does not overflow. */
    private static final long MAXIMUM_SIZE = Long.MAX_VALUE / HEXADECIMAL - HEXADECIMAL;

    private Part part = Part.SIZE;
    private long size;
    private int lineBytes;
    private int trailerBytes;
    private boolean hasDigits;

    private enum Part {
        SIZE,
        EXTENSION,
        DATA,
        DATA_END,
        TRAILERS,
        END
    }

    /** Starts with a new body. */
    void reset() {
        part = Part.SIZE;
        startLine();
        trailerBytes = 0;
    }

    boolean isComplete() {
        return part == Part.END;
    }

    /**
     * Reads received bytes up to the end of the body. Trailers are skipped.
     *
     * @param buffer received bytes
     * @param data receives the data of the chunks
     * @param maximumTrailerBytes maximum size of all trailers, in bytes
     * @return cause to close the connection, null if there is none
     */
    @Nullable
    ReceiveRefusal read(ByteBuf buffer, ByteBuf data, int maximumTrailerBytes) {
        while (buffer.isReadable() && part != Part.END) {
            if (part == Part.DATA) {
                int length = (int) Math.min(size, buffer.readableBytes());
                data.writeBytes(buffer, length);
                size -= length;
                part = size == 0 ? Part.DATA_END : Part.DATA;
                continue;
            }
            ReceiveRefusal refusal = readFraming(buffer.readByte(), maximumTrailerBytes);
            if (refusal != null) {
                return refusal;
            }
        }
        return null;
    }

    private @Nullable ReceiveRefusal readFraming(byte character, int maximumTrailerBytes) {
        lineBytes++;
        if (part == Part.TRAILERS) {
            return readTrailer(character, maximumTrailerBytes);
        }
        if (part == Part.DATA_END) {
            if (character == '\n') {
                part = Part.SIZE;
                startLine();
                return null;
            }
            return character == '\r' && lineBytes == 1 ? null : ReceiveRefusal.MALFORMED_FRAMING;
        }
        if (character == '\n') {
            if (!hasDigits) {
                return ReceiveRefusal.MALFORMED_FRAMING;
            }
            part = size == 0 ? Part.TRAILERS : Part.DATA;
            lineBytes = 0;
            return null;
        }
        int digit = Character.digit(character, HEXADECIMAL);
        if (part == Part.SIZE && digit >= 0) {
            size = size * HEXADECIMAL + digit;
            hasDigits = true;
        } else {
            part = Part.EXTENSION;
        }
        return size > MAXIMUM_SIZE || lineBytes > MAXIMUM_SIZE_LINE_BYTES ? ReceiveRefusal.MALFORMED_FRAMING : null;
    }

    private @Nullable ReceiveRefusal readTrailer(byte character, int maximumTrailerBytes) {
        trailerBytes++;
        if (character == '\n') {
            boolean isEmpty = lineBytes == 1;
            lineBytes = 0;
            part = isEmpty ? Part.END : part;
        } else if (character == '\r') {
            lineBytes--;
        }
        return trailerBytes > maximumTrailerBytes ? ReceiveRefusal.HEAD_TOO_LARGE : null;
    }

    private void startLine() {
        size = 0;
        lineBytes = 0;
        hasDigits = false;
    }
}
