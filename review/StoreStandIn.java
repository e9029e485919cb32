import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in for the platform's store: keyed logs with waiting reads, snapshots and appends, as the protocol page says. */
final class StoreStandIn implements AutoCloseable {

    private final Journal journal;
    private final ServerSocket listener;
    private final Map<String, List<Entry>> topics = new HashMap<>();

    private record Entry(String key, byte[] value) {}

    StoreStandIn(Journal journal) throws IOException {
        this.journal = journal;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::accept, "store");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void put(String topic, String key, String value) {
        journal.add("store " + topic + " " + key + " = " + (value.length() > 600 ? value.substring(0, 600) : value));
        append(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes a record without a line in the journal. */
    void heartbeat(String topic, String key, String value) {
        append(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized int append(String topic, String key, byte[] value) {
        List<Entry> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        entries.add(new Entry(key, value));
        notifyAll();
        return entries.size() - 1;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> serve(socket), "store-channel");
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
                String uri = request.firstLine.split(" ")[1];
                byte[] body = handle(uri, parameters(uri), request);
                String head = "HTTP/1.1 " + (body == null ? "404 Not Found" : "200 OK") + "\r\nContent-Length: "
                        + (body == null ? 0 : body.length) + "\r\n\r\n";
                ByteArrayOutputStream answer = new ByteArrayOutputStream();
                answer.write(head.getBytes(StandardCharsets.ISO_8859_1));
                answer.write(body == null ? new byte[0] : body);
                output.write(answer.toByteArray());
                output.flush();
            }
        } catch (Exception exception) {
            // The router has closed its channel.
        }
    }

    private byte[] handle(String uri, Map<String, String> parameters, Http.Message request) throws Exception {
        String topic = parameters.getOrDefault("topic", "");
        if (uri.startsWith(Wire.SNAPSHOT_CALL)) {
            return newest(topic);
        }
        if (uri.startsWith(Wire.READ_CALL)) {
            return read(
                    topic,
                    Integer.parseInt(parameters.get("from")),
                    Long.parseLong(parameters.getOrDefault("wait-ms", "0")));
        }
        if (uri.startsWith(Wire.APPEND_CALL)) {
            ByteBuffer records = ByteBuffer.wrap(request.body);
            int first = -1;
            while (records.remaining() > 4) {
                byte[] record = new byte[records.getInt()];
                records.get(record);
                int keyLength = record[0] & 0xff;
                String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
                byte[] value = Arrays.copyOfRange(record, 1 + keyLength, record.length);
                int offset = append(topic, key, value);
                first = first < 0 ? offset : first;
            }
            return Wire.fill("appended", "first", first, "end", first + 1).getBytes(StandardCharsets.UTF_8);
        }
        return null;
    }

    private synchronized byte[] newest(String topic) {
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        Map<String, String> newest = new LinkedHashMap<>();
        for (int offset = 0; offset < entries.size(); offset++) {
            Entry entry = entries.get(offset);
            newest.remove(entry.key());
            if (entry.value().length > 0) {
                String value = Base64.getEncoder().encodeToString(entry.value());
                newest.put(
                        entry.key(), Wire.fill("snapshot.entry", "key", entry.key(), "value", value, "offset", offset));
            }
        }
        return Wire.fill("snapshot", "entries", String.join(",", newest.values()), "end", entries.size())
                .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(String topic, int from, long waitMillis) throws Exception {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        while (from >= entries.size() && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            entries = topics.getOrDefault(topic, List.of());
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream output = new DataOutputStream(bytes);
        output.writeLong(entries.size());
        output.writeLong(0);
        for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            output.writeInt(1 + key.length + entry.value().length);
            output.writeByte(key.length);
            output.write(key);
            output.write(entry.value());
        }
        return bytes.toByteArray();
    }

    private static Map<String, String> parameters(String uri) {
        Map<String, String> parameters = new HashMap<>();
        int query = uri.indexOf('?');
        if (query < 0) {
            return parameters;
        }
        for (String part : uri.substring(query + 1).split("&")) {
            int equals = part.indexOf('=');
            parameters.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return parameters;
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
