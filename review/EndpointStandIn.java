import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a server of a service: answers each request of its own and refuses with 421 what is meant for another. */
final class EndpointStandIn implements AutoCloseable {

    final String id;
    final String service;
    final String ip = "127.0.0.1";
    final int port;
    private final Journal journal;
    private final ServerSocket listener;
    private final Behaviour behaviour;
    private final long bornMillis = System.currentTimeMillis();
    private final AtomicInteger sequence = new AtomicInteger();
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private volatile String state = "ready";

    /** What the server does with a request that it accepts to run. */
    interface Behaviour {
        void run(EndpointStandIn self, Http.Message request, OutputStream output) throws Exception;
    }

    EndpointStandIn(Journal journal, String id, String service, Behaviour behaviour) throws IOException {
        this.journal = journal;
        this.id = id;
        this.service = service;
        this.behaviour = behaviour;
        listener = new ServerSocket(0, 200, InetAddress.getByName(ip));
        port = listener.getLocalPort();
        Thread thread = new Thread(this::accept, id);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Entry of the server in the store.
     *
     * @return the entry, empty once the server has crashed
     */
    String entry() {
        if (state.isEmpty()) {
            return "";
        }
        return Wire.fill(
                "entry", "service", service, "address", ip + ":" + port, "state", state, "sequence",
                sequence.incrementAndGet(), "born", bornMillis);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                channels.add(socket);
                Thread thread = new Thread(() -> serve(socket), id + "-channel");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            for (Http.Message request = Http.readRequest(input); request != null; request = Http.readRequest(input)) {
                String expected = request.header(Wire.EXPECTED_ENDPOINT);
                if (expected != null && !expected.equals(id)) {
                    journal.add("server " + id + " rejects with 421 " + request.firstLine);
                    output.write(("HTTP/1.1 421 Misdirected Request\r\n" + Wire.IDENTITY + ": " + id
                            + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                behaviour.run(this, request, output);
            }
        } catch (Exception exception) {
            if (!listener.isClosed()) {
                journal.add("server " + id + ": channel ended: " + exception);
            }
        } finally {
            channels.remove(socket);
        }
    }

    /** Ends the server as a crash does: its port and all its channels close. */
    void crash() {
        state = "";
        close();
        for (Socket channel : channels) {
            try {
                channel.close();
            } catch (IOException exception) {
                journal.add("server " + id + ": channel not closed: " + exception);
            }
        }
    }

    /** Reports from now on that the server is about to leave; it goes on serving. */
    void drain() {
        state = "draining";
    }

    /** Head of a success, up to the framing. */
    String successHead(Http.Message request) {
        return "HTTP/1.1 200 OK\r\n" + Wire.REQUEST_ID + ": " + request.header(Wire.REQUEST_ID) + "\r\n"
                + Wire.SIGNATURE + ": stamp-" + id + "\r\n" + Wire.LOAD + ": 1,0,32\r\n";
    }

    void answer(Http.Message request, OutputStream output, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        output.write((successHead(request) + "Content-Length: " + bytes.length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException exception) {
            // The process ends anyway.
        }
    }
}
