package common3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that opens a connection for each request and reads until the answer is complete or the connection ends. */
public final class Client {

    /**
     * An answer.
     *
     * @param status its status, 0 if none came
     * @param head its head
     * @param body the bytes of its body, still in chunks if it came so
     * @param complete whether its end came
     */
    public record Answer(int status, String head, byte[] body, boolean complete) {

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private Client() {}

    /** Status of a request without a body, 0 if no answer came. */
    public static int get(int port, String path) {
        try {
            return send(port, "GET " + path + " HTTP/1.1\r\nHost: local.example\r\nConnection: close\r\n\r\n", 1_000)
                    .status();
        } catch (IOException exception) {
            return 0;
        }
    }

    /** Head of a request with a key. */
    public static String head(
            String method, String path, String attempt, int deadlineMillis, String key, int length, String more) {
        return Names.message(
                "call",
                "method",
                method,
                "path",
                path,
                "host",
                Config.HOST,
                "attempt",
                attempt,
                "deadline",
                deadlineMillis,
                "key",
                key,
                "length",
                length,
                "more",
                more);
    }

    /** Sends a request and reads its answer. */
    public static Answer send(int port, String request, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return receive(socket, timeoutMillis);
        }
    }

    /** Reads one answer. */
    public static Answer receive(Socket socket, int timeoutMillis) throws IOException {
        long endNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] buffer = new byte[65_536];
        while (true) {
            Answer answer = parse(received.toByteArray());
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (answer.complete() || leftMillis <= 0) {
                return answer;
            }
            socket.setSoTimeout((int) leftMillis);
            int read;
            try {
                read = in.read(buffer);
            } catch (IOException ended) {
                return answer;
            }
            if (read < 0) {
                return answer;
            }
            received.write(buffer, 0, read);
        }
    }

    private static Answer parse(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return new Answer(0, text, new byte[0], false);
        }
        String head = text.substring(0, end);
        byte[] body = java.util.Arrays.copyOfRange(bytes, end + 4, bytes.length);
        int status = Integer.parseInt(head.split(" ")[1]);
        String lower = head.toLowerCase();
        boolean complete;
        if (lower.contains("transfer-encoding: chunked")) {
            complete = text.endsWith("0\r\n\r\n");
        } else {
            int at = lower.indexOf("content-length: ");
            int length = at < 0
                    ? 0
                    : Integer.parseInt(lower.substring(at + 16).split("\r\n")[0].strip());
            complete = body.length >= length;
        }
        return new Answer(status, head, body, complete);
    }
}
