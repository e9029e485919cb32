package common3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of a run: what was sent, answered and run, with the time in milliseconds since its start. */
public final class Journal implements AutoCloseable {

    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    public Journal(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    public long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    public synchronized void add(String line) {
        writer.printf("%7d %s%n", millis(), line);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
