package common3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on a loopback address, with one thread for each connection. */
public final class HttpPort implements AutoCloseable {

    /** A received request. */
    public record Request(String method, String uri, Map<String, String> headers, byte[] body) {

        public String path() {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        /** Value of a header, by its name in lower case; null if it is missing. */
        public String header(String name) {
            return headers.get(name);
        }

        /** Value of a parameter of the query; null if it is missing. */
        public String parameter(String name) {
            int query = uri.indexOf('?');
            if (query < 0) {
                return null;
            }
            for (String pair : uri.substring(query + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    /** Answers requests. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Answers a request by writing to the socket.
         *
         * @return false if the connection is to be closed
         */
        boolean handle(Request request, Socket socket) throws Exception;
    }

    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean isClosed;

    public HttpPort(Handler handler) throws IOException {
        this.handler = handler;
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        startThread(this::acceptAll);
    }

    public int port() {
        return listener.getLocalPort();
    }

    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Closes all open connections; new ones are accepted. */
    public void dropConnections() {
        for (Socket socket : open) {
            closeQuietly(socket);
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        listener.close();
        dropConnections();
    }

    /** Writes a whole response with a length. */
    public static void respond(Socket socket, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        write(socket, message.toByteArray());
    }

    public static void write(Socket socket, byte[] bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes);
        out.flush();
    }

    public static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // The connection is gone in any case.
        }
    }

    public static Thread startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void acceptAll() {
        while (!isClosed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                startThread(() -> serve(socket));
            } catch (IOException exception) {
                if (isClosed) {
                    return;
                }
            }
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            while (handler.handle(readRequest(in), socket)) {
                // The next request of the connection follows.
            }
        } catch (Exception ended) {
            // The connection has ended, or the handler ended it.
        } finally {
            open.remove(socket);
            closeQuietly(socket);
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line = readLine(in); !line.isEmpty() || lines.isEmpty(); line = readLine(in)) {
            if (!line.isEmpty()) {
                lines.add(line);
            }
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line : lines.subList(1, lines.size())) {
            int colon = line.indexOf(':');
            headers.merge(
                    line.substring(0, colon).toLowerCase(),
                    line.substring(colon + 1).strip(),
                    (first, second) -> first + "," + second);
        }
        String[] first = lines.get(0).split(" ");
        byte[] body = "chunked".equals(headers.get("transfer-encoding"))
                ? readChunks(in)
                : readExactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(first[0], first[1], headers, body);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
            body.write(readExactly(in, size));
            readLine(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
