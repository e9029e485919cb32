package common3;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A sound application server: runs each request that is meant for it, and answers with its name. */
public final class Server implements AutoCloseable {

    /** A run of a request. */
    public record Run(String server, String attempt, String path, long atMillis) {}

    /** Answers requests in place of the sound answer. */
    @FunctionalInterface
    public interface Answering {

        /** Returns null for the sound answer, otherwise whether the connection stays open. */
        Boolean answer(HttpPort.Request request, Socket socket) throws Exception;
    }

    public final String id;
    public final String service;
    private final HttpPort port;
    private final Journal journal;
    private final List<Run> runs;
    private final long born = System.currentTimeMillis();
    private volatile int sequence;
    private volatile long coldUntilMillis;
    private volatile Answering answering = (request, socket) -> null;

    public Server(String id, String service, Journal journal, List<Run> runs) throws IOException {
        this.id = id;
        this.service = service;
        this.journal = journal;
        this.runs = runs;
        this.port = new HttpPort(this::handle);
    }

    public static List<Run> newRuns() {
        return new CopyOnWriteArrayList<>();
    }

    public void setAnswering(Answering newAnswering) {
        answering = newAnswering;
    }

    /** The server is cold from now on. */
    public void setCold(long millis) {
        coldUntilMillis = journal.millis() + millis;
    }

    public long coldLeftMillis() {
        return Math.max(0, coldUntilMillis - journal.millis());
    }

    public String address() {
        return port.address();
    }

    /** Entry of the server in the store; its sequence rises with each one. */
    public String entry() {
        sequence++;
        return Names.message(
                "entry",
                "service",
                service,
                "address",
                address(),
                "cold",
                coldLeftMillis(),
                "sequence",
                sequence,
                "born",
                born);
    }

    private static String attempt(HttpPort.Request request) {
        return request.header(Names.of("attempt").toLowerCase());
    }

    /** Records a run. */
    public void recordRun(HttpPort.Request request) {
        Run run = new Run(id, attempt(request), request.path(), journal.millis());
        runs.add(run);
        journal.add("server " + id + " (" + service + "): runs " + run.attempt() + " " + run.path());
    }

    public static Map<String, String> stamped(HttpPort.Request request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(Names.of("attempt"), attempt(request));
        headers.put(Names.of("stamp"), "3e1b.07.5a2.600.0.c9f2a4d1");
        return headers;
    }

    @Override
    public void close() throws IOException {
        port.close();
    }

    private boolean handle(HttpPort.Request request, Socket socket) throws Exception {
        String expected = request.header("redwinghook-expect-instance");
        if (expected != null && !expected.equals(id)) {
            HttpPort.respond(socket, 421, Map.of(Names.of("instance"), id), new byte[0]);
            return true;
        }
        if (request.path().equals("/healthz") || request.path().equals("/report")) {
            HttpPort.respond(socket, 200, Map.of(Names.of("instance"), id), "{}".getBytes());
            return true;
        }
        Boolean special = answering.answer(request, socket);
        if (special != null) {
            return special;
        }
        recordRun(request);
        HttpPort.respond(
                socket, 200, stamped(request), ("answer of " + id).getBytes(StandardCharsets.UTF_8));
        return true;
    }
}
