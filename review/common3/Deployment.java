package common3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, servers that write their entries, and routers. */
public final class Deployment implements AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 1_200;

    public final Journal journal;
    public final Store store;
    public final List<Server.Run> runs = Server.newRuns();
    public final List<Router> routers = new ArrayList<>();
    private final List<Server> servers = new java.util.concurrent.CopyOnWriteArrayList<>();
    private final Path directory;
    private volatile boolean writesEntries = true;

    public Deployment(Path record) throws IOException {
        journal = new Journal(record);
        store = new Store(journal);
        directory = Files.createTempDirectory("review-3-");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> routers.forEach(Router::close)));
        HttpPort.startThread(this::writeEntries);
    }

    public Server addServer(String id, String service) throws IOException {
        Server server = new Server(id, service, journal, runs);
        servers.add(server);
        store.write(Store.SERVERS, id, server.entry());
        return server;
    }

    /** Adds a server that has just started and is cold. */
    public Server addColdServer(String id, String service, long coldMillis) throws IOException {
        Server server = new Server(id, service, journal, runs);
        server.setCold(coldMillis);
        return server;
    }

    /** Lists a server that was created before. */
    public void list(Server server) {
        servers.add(server);
        store.write(Store.SERVERS, server.id, server.entry());
    }

    /** The server writes its entry no more. */
    public void forget(Server server) {
        servers.remove(server);
    }

    public Router addRouter(String name) throws Exception {
        Router router = new Router(name, store.address(), directory, journal);
        routers.add(router);
        router.start();
        return router;
    }

    public int writeConfig(Config config, String what) {
        int offset = store.write(Store.OPERATORS, "config", config.json());
        journal.add("operator: writes " + what + ", acknowledged at offset " + offset);
        return offset;
    }

    /** Servers write no entries while the store is away. */
    public void pauseEntries(boolean isPaused) {
        writesEntries = !isPaused;
    }

    public void writeAllEntries() {
        for (Server server : servers) {
            store.write(Store.SERVERS, server.id, server.entry());
        }
    }

    /** Copies the routers' logs to a folder, to be read after a run. */
    public void keepLogs(Path target) throws IOException {
        Files.createDirectories(target);
        for (Router router : routers) {
            Files.copy(
                    directory.resolve(router.name + ".log"),
                    target.resolve(router.name + ".log"),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
    }

    @Override
    public void close() throws IOException {
        routers.forEach(Router::close);
        for (Server server : servers) {
            server.close();
        }
        store.close();
        journal.close();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private void writeEntries() {
        while (true) {
            try {
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
            if (writesEntries) {
                writeAllEntries();
            }
        }
    }
}
