package common3;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Stand-in for the platform's store: keyed topics of one partition each. It may come back from an older copy. */
public final class Store implements AutoCloseable {

    public static final String OPERATORS = Names.of("topic.operators");
    public static final String SERVERS = Names.of("topic.servers");
    public static final String ROUTERS = Names.of("topic.routers");

    private static final byte[] NO_VALUE = new byte[0];
    private static final int SHORTEST_DELAY_MILLIS = 1_000;
    private static final int DELAY_RANGE_MILLIS = 5_001;

    private record Entry(String key, byte[] value) {}

    private final HttpPort port;
    private final Journal journal;
    private Map<String, List<Entry>> topics = new HashMap<>();
    private Map<String, List<Entry>> copy = new HashMap<>();
    private int era = 1;
    private volatile boolean isAway;
    private double lostShare;
    private Random random = new Random(0);

    public Store(Journal journal) throws IOException {
        this.journal = journal;
        this.port = new HttpPort(this::handle);
    }

    public String address() {
        return port.address();
    }

    /**
     * Loses the answers of some of the system's writes, and executes these writes 1 to 6 s later.
     *
     * @param share chance of each write, 0 for none
     * @param seed seed of the choice
     */
    public synchronized void loseAnswers(double share, long seed) {
        lostShare = share;
        random = new Random(seed);
    }

    /** Keys of a topic that have a value. */
    public synchronized java.util.Set<String> keys(String topic) {
        java.util.Set<String> keys = new java.util.TreeSet<>();
        for (Entry entry : topics.getOrDefault(topic, List.of())) {
            if (entry.value().length > 0) {
                keys.add(entry.key());
            } else {
                keys.remove(entry.key());
            }
        }
        return keys;
    }

    /** Writes a record on behalf of the operator or a server; returns its offset. */
    public synchronized int write(String topic, String key, String value) {
        return append(topic, key, value == null ? NO_VALUE : value.getBytes(StandardCharsets.UTF_8));
    }

    /** Copies all records, to come back from this copy later. */
    public synchronized void takeCopy() {
        copy = copyOf(topics);
        journal.add("store: copy taken, ends " + ends());
    }

    /** The store goes away: connections end, and calls get no answer. */
    public void goAway() {
        journal.add("store: away, ends " + ends());
        isAway = true;
        port.dropConnections();
    }

    /** The store comes back from the copy that was taken. */
    public synchronized void comeBack() {
        topics = copyOf(copy);
        era++;
        isAway = false;
        journal.add("store: back from the copy, era " + era + ", ends " + ends());
        notifyAll();
    }

    @Override
    public void close() throws IOException {
        port.close();
    }

    private synchronized String ends() {
        Map<String, Integer> ends = new java.util.TreeMap<>();
        topics.forEach((topic, entries) -> ends.put(topic, entries.size()));
        return ends.toString();
    }

    private static Map<String, List<Entry>> copyOf(Map<String, List<Entry>> original) {
        Map<String, List<Entry>> copied = new HashMap<>();
        original.forEach((topic, entries) -> copied.put(topic, new ArrayList<>(entries)));
        return copied;
    }

    private synchronized int append(String topic, String key, byte[] value) {
        List<Entry> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        entries.add(new Entry(key, value));
        notifyAll();
        return entries.size() - 1;
    }

    private boolean handle(HttpPort.Request request, Socket socket) throws Exception {
        if (isAway) {
            return false;
        }
        String topic = request.parameter("topic");
        switch (request.path()) {
            case "/log-newest" -> respond(socket, 200, newest(topic).getBytes(StandardCharsets.UTF_8));
            case "/log-read" -> read(request, topic, socket);
            case "/log-append" -> {
                ByteBuffer body = ByteBuffer.wrap(request.body());
                byte[] record = new byte[body.getInt()];
                body.get(record);
                int keyLength = record[0] & 0xff;
                String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
                byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
                String what = (value.length == 0 ? "removal of " : "record of ") + key + " in " + topic;
                long delayMillis = drawDelayMillis();
                if (delayMillis > 0) {
                    journal.add("store: " + what + " is not answered, executed after " + delayMillis + " ms");
                    Thread.sleep(delayMillis);
                    journal.add("store: " + what + ", late, at offset " + append(topic, key, value));
                    return false;
                }
                int offset = append(topic, key, value);
                journal.add("store: " + what + " at offset " + offset);
                respond(
                        socket,
                        200,
                        Names.message("appended", "offset", offset, "end", offset + 1)
                                .getBytes(StandardCharsets.UTF_8));
            }
            default -> respond(socket, 404, NO_VALUE);
        }
        return true;
    }

    /** Time after which a write is executed without an answer, 0 if it is answered. */
    private synchronized long drawDelayMillis() {
        boolean isLost = lostShare > 0 && random.nextDouble() < lostShare;
        return isLost ? SHORTEST_DELAY_MILLIS + random.nextInt(DELAY_RANGE_MILLIS) : 0;
    }

    private void respond(Socket socket, int status, byte[] body) throws IOException {
        int currentEra;
        synchronized (this) {
            currentEra = era;
        }
        HttpPort.respond(socket, status, Map.of(Names.of("era"), Integer.toString(currentEra)), body);
    }

    private synchronized String newest(String topic) {
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        Map<String, String> newest = new LinkedHashMap<>();
        for (int offset = 0; offset < entries.size(); offset++) {
            Entry entry = entries.get(offset);
            newest.remove(entry.key());
            if (entry.value().length > 0) {
                newest.put(
                        entry.key(),
                        "{\"key\":\"" + entry.key() + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(entry.value()) + "\",\"offset\":" + offset + "}");
            }
        }
        return Names.message("newest", "entries", String.join(",", newest.values()), "end", entries.size());
    }

    private void read(HttpPort.Request request, String topic, Socket socket) throws Exception {
        int from = Integer.parseInt(request.parameter("from"));
        String wait = request.parameter("wait-ms");
        long endNanos = System.nanoTime() + (wait == null ? 0 : Long.parseLong(wait)) * 1_000_000;
        byte[] page;
        synchronized (this) {
            while (!isAway && from == topics.getOrDefault(topic, List.of()).size() && System.nanoTime() < endNanos) {
                wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
            }
            page = page(topic, from);
        }
        if (page == null) {
            respond(socket, 410, "{\"first-offset\":0}".getBytes(StandardCharsets.UTF_8));
            return;
        }
        respond(socket, 200, page);
    }

    /** Records from an offset on; null if the topic does not have that offset. */
    private byte[] page(String topic, int from) throws IOException {
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        if (from > entries.size()) {
            return null;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(entries.size());
        out.writeLong(0);
        for (Entry entry : entries.subList(from, entries.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value());
        }
        return bytes.toByteArray();
    }
}
