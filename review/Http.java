import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads HTTP/1.1 messages. */
final class Http {

    private Http() {}

    /** A message: its first line, its header lines and its body. */
    static final class Message {
        String firstLine = "";
        final List<String> headers = new ArrayList<>();
        byte[] body = new byte[0];
        int status;
        /** Whether the message came whole, by its own framing. */
        boolean complete;

        String header(String name) {
            for (String line : headers) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                    return line.substring(colon + 1).strip();
                }
            }
            return null;
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads a head; null if the connection ends before its first byte. */
    static Message readHead(InputStream input) throws IOException {
        String first = readLine(input);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.firstLine = first;
        for (String line = readLine(input); ; line = readLine(input)) {
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            if (line.isEmpty()) {
                return message;
            }
            message.headers.add(line);
        }
    }

    /** Reads a request with its body; null if the connection has ended. */
    static Message readRequest(InputStream input) throws IOException {
        Message message = readHead(input);
        if (message != null) {
            readBody(input, message, false);
        }
        return message;
    }

    static Message readResponse(InputStream input) throws IOException {
        Message message = readHead(input);
        if (message == null) {
            throw new EOFException("the connection ended without an answer");
        }
        message.status = Integer.parseInt(message.firstLine.split(" ")[1]);
        if (message.status < 200 || message.status == 204 || message.status == 304) {
            message.complete = true;
            return message;
        }
        readBody(input, message, true);
        return message;
    }

    private static void readBody(InputStream input, Message message, boolean endsWithConnection) throws IOException {
        String encoding = message.header("Transfer-Encoding");
        String length = message.header("Content-Length");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
                for (int size = chunkSize(input); size > 0; size = chunkSize(input)) {
                    body.write(input.readNBytes(size));
                    readLine(input);
                }
                readLine(input);
                message.complete = true;
            } else if (length != null) {
                body.write(input.readNBytes(Integer.parseInt(length)));
                message.complete = body.size() == Integer.parseInt(length);
            } else if (endsWithConnection) {
                body.write(input.readAllBytes());
                message.complete = true;
            } else {
                message.complete = true;
            }
        } finally {
            message.body = body.toByteArray();
        }
    }

    private static int chunkSize(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            throw new EOFException("the connection ended within a body");
        }
        return Integer.parseInt(line.split(";")[0].strip(), 16);
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
