import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One channel of a client. */
final class Client implements AutoCloseable {

    final Socket socket = new Socket();
    private final InputStream input;
    private final OutputStream output;

    Client(String ip, int port, int timeoutMillis) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        socket.connect(new InetSocketAddress(ip, port), 1_000);
        input = new BufferedInputStream(socket.getInputStream());
        output = socket.getOutputStream();
    }

    void send(String head, byte[] body) throws IOException {
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, message, 0, bytes.length);
        System.arraycopy(body, 0, message, bytes.length, body.length);
        output.write(message);
        output.flush();
    }

    Http.Message receive() throws IOException {
        return Http.readResponse(input);
    }

    /** Receives the head of an answer; its body is left to be read. */
    Http.Message receiveHead() throws IOException {
        Http.Message head = Http.readHead(input);
        if (head == null) {
            throw new IOException("no answer");
        }
        head.status = Integer.parseInt(head.firstLine.split(" ")[1]);
        return head;
    }

    /** Reads one chunk of a body and returns its size, 0 for the end of the body. */
    int readChunk() throws IOException {
        String line = Http.readLine(input);
        if (line == null) {
            throw new IOException("the channel was closed before the end of the body");
        }
        int size = Integer.parseInt(line, 16);
        input.readNBytes(size);
        Http.readLine(input);
        return size;
    }

    Http.Message exchange(String head, byte[] body) throws IOException {
        send(head, body);
        return receive();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException exception) {
            // The channel is of no further use.
        }
    }
}
