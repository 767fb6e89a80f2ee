import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        String line = String.format("%7d ms  %s", millis(), text);
        writer.println(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        writer.close();
    }
}
