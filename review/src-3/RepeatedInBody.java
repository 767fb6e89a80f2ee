import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner truncates the body of one answer in fifty, and an extra copy of the previous answer arrives late on the
 * connection. A client must never get a success whose body is not the runner's.
 */
final class RepeatedInBody {
    private static final int BODY_BYTES = 4_800;
    private static final int CLIENTS = 4;
    private static final int REQUESTS_PER_CLIENT = 150;
    private static final double TRUNCATED_SHARE = 0.02;
    private static final int TRUNCATED_BYTES = 300;
    private static final long COPY_DELAY_MILLIS = 20;

    /** Length of the data of one TCP segment on an Ethernet, and the time between two segments. */
    private static final int SEGMENT_BYTES = 1_460;

    private static final long SEGMENT_DELAY_MILLIS = 1;

    private RepeatedInBody() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Entry.newFolder();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger truncated = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        Map<Runner.Connection, byte[]> lastAnswers = new ConcurrentHashMap<>();
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Store store = new Store();
                Entry entry = new Entry("entry-1", directory, store.port())) {
            Runner.Behaviour behaviour = (runner, head, connection) -> {
                Http.readRequestBody(head, connection.in());
                String attempt = head.field("Attempt-Id");
                byte[] whole = runner.answer(200, head, "", body(attempt));
                Threads.sleep(5);
                byte[] previous = lastAnswers.put(connection, whole);
                if (trouble && previous != null && ThreadLocalRandom.current().nextDouble() < TRUNCATED_SHARE) {
                    truncated.incrementAndGet();
                    record.line("%s runs %s, truncates its answer, and an extra answer arrives", runner.id(), attempt);
                    connection.out().write(whole, 0, whole.length - BODY_BYTES + TRUNCATED_BYTES);
                    connection.out().flush();
                    Threads.sleep(COPY_DELAY_MILLIS);
                    writeSegments(connection, previous);
                    return true;
                }
                writeSegments(connection, whole);
                return true;
            };
            store.put("config", "main", Config.state(
                    1,
                    "\"key-1\"",
                    Config.service("app"),
                    Config.route("status", "/status/", "idempotent", 1500, 2, "app")));
            for (int i = 0; i < 3; i++) {
                new Runner("i-" + i, "app", behaviour).beat(store, "ready");
            }
            entry.start();
            if (!entry.awaitReady(30)) {
                record.line("the entry did not become ready");
                System.exit(2);
            }
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                threads.add(Threads.start("client", () -> {
                    try (Client client = new Client(entry.callersPort(), 3_000)) {
                        for (int j = 0; j < REQUESTS_PER_CLIENT; j++) {
                            Client.Result result = client.call("GET", "/status/x", "", new byte[0]);
                            boolean isWhole = new String(result.body(), StandardCharsets.ISO_8859_1)
                                    .equals(body(result.attempt()));
                            if (result.status() == 200) {
                                served.incrementAndGet();
                            }
                            if (result.status() == 200 && !isWhole) {
                                broken.incrementAndGet();
                                record.line(
                                        "BROKEN: %s got 200, signature %s, and a body that is not the runner's; from"
                                                + " byte %d on it reads: %s",
                                        result.attempt(),
                                        result.signature(),
                                        TRUNCATED_BYTES,
                                        new String(result.body(), TRUNCATED_BYTES, 200, StandardCharsets.ISO_8859_1)
                                                .replace("\r\n", " | ")
                                                .replace("\n", " "));
                            } else if (result.status() != 200) {
                                record.line("%s got %d %s", result.attempt(), result.status(), result.error());
                            }
                        }
                    }
                }));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            record.line(
                    "%d of %d requests served, %d answers truncated, %d clients got a body that is not the runner's",
                    served.get(), CLIENTS * REQUESTS_PER_CLIENT, truncated.get(), broken.get());
        }
        System.exit(broken.get() > 0 ? 1 : served.get() == 0 ? 2 : 0);
    }

    /** Writes bytes as a network delivers them, in segments one after the other. */
    private static void writeSegments(Runner.Connection connection, byte[] bytes) throws IOException {
        for (int start = 0; start < bytes.length; start += SEGMENT_BYTES) {
            connection.out().write(bytes, start, Math.min(SEGMENT_BYTES, bytes.length - start));
            connection.out().flush();
            Threads.sleep(SEGMENT_DELAY_MILLIS);
        }
    }

    /** Body of an answer: lines that name its request. */
    private static String body(String attempt) {
        return (attempt + "\n").repeat(BODY_BYTES / 17 + 1).substring(0, BODY_BYTES);
    }
}
