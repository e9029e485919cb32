import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start. */
final class Journal implements AutoCloseable {

    private final PrintWriter file;
    private final long startNanos = System.nanoTime();

    Journal(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path));
    }

    synchronized void add(String line) {
        file.println(String.format(Locale.ROOT, "%9.3f s  %s", (System.nanoTime() - startNanos) / 1e9, line));
        file.flush();
    }

    @Override
    public void close() {
        file.close();
    }
}
