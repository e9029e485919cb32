package common3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A router as a process of its own, started with the command of the deploy file. */
public final class Router implements AutoCloseable {

    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    public final String name;
    public final int callerPort = freePort();
    public final int readyPort = freePort();
    private final int peerPort = freePort();
    private final int adminPort = freePort();
    private final Path directory;
    private final Path settings;
    private final Journal journal;
    private Process process;

    public Router(String name, String storeAddress, Path directory, Journal journal) throws IOException {
        this.name = name;
        this.directory = directory;
        this.journal = journal;
        this.settings = directory.resolve(name + ".yaml");
        Files.writeString(settings, """
                process: "%s"
                dataCentre: "zone-a"
                regions: {"zone-a":"region-a"}
                caller: "127.0.0.1:%d"
                ready: "127.0.0.1:%d"
                readyPath: /readyz
                peer: "127.0.0.1:%d"
                admin: "127.0.0.1:%d"
                store: "%s"
                stopSeconds: 8
                retries:
                  share: 0.2
                  slack: 54
                  windowSeconds: 10
                coldEndpoints:
                  burstFactor: 1.5
                  burstRequests: 5
                waiting:
                  enabled: true
                """.formatted(name, callerPort, readyPort, peerPort, adminPort, storeAddress));
    }

    /** Starts the process with the words of the deploy file's command, which end with the path of the settings. */
    public void start() throws IOException {
        List<String> command = new ArrayList<>(List.of(commandLine().split(" ")));
        command.set(command.size() - 1, settings.toAbsolutePath().toString());
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        directory.resolve(name + ".log").toFile()))
                .start();
        journal.add("router " + name + ": started");
    }

    /** Waits until the router reports that it is ready. */
    public void awaitReady() throws Exception {
        for (int attempt = 0; attempt < 300; attempt++) {
            if (Client.get(readyPort, "/readyz") == 200) {
                journal.add("router " + name + ": ready");
                return;
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("router " + name + " is not ready");
    }

    public void signal(String signal) throws Exception {
        journal.add("router " + name + ": SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public Process process() {
        return process;
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static String commandLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IllegalStateException("the deploy file has no command");
    }

    /** A free port below the range from which the system takes the ports of outgoing connections. */
    private static int freePort() {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            if (!TAKEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException inUse) {
                // Another port is tried.
            }
        }
        throw new IllegalStateException("no free port");
    }
}
