import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Record of what was sent, answered and run, with times since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    synchronized void line(String format, Object... arguments) {
        out.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, String.format(format, arguments));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
