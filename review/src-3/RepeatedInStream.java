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
 * A runner truncates one stream in fifty within an event, and an extra copy of the previous answer arrives late on the
 * connection. A client must never get an event that is not the runner's.
 */
final class RepeatedInStream {
    private static final int EVENTS = 12;
    private static final int EVENT_BYTES = 390;
    private static final int CLIENTS = 6;
    private static final int REQUESTS_PER_CLIENT = 80;
    private static final double TRUNCATED_SHARE = 0.02;
    private static final int TRUNCATED_EVENT = 4;
    private static final int TRUNCATED_BYTES = 30;
    private static final long COPY_DELAY_MILLIS = 20;

    private RepeatedInStream() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Entry.newFolder();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger truncated = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        Map<Runner.Connection, String> lastAnswers = new ConcurrentHashMap<>();
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Store store = new Store();
                Entry entry = new Entry("entry-1", directory, store.port())) {
            Runner.Behaviour behaviour = (runner, head, connection) -> {
                Http.readRequestBody(head, connection.in());
                String attempt = head.field("Attempt-Id");
                String lastId = head.field("Last-Event-Id");
                int first = lastId == null ? 1 : Integer.parseInt(lastId) + 1;
                String fields = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: "
                        + runner.signature(attempt)
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                StringBuilder whole = new StringBuilder(fields);
                for (int i = first; i <= EVENTS; i++) {
                    whole.append(chunk(event(attempt, i)));
                }
                whole.append("0\r\n\r\n");
                String previous = lastAnswers.put(connection, whole.toString());
                boolean truncates = trouble
                        && previous != null
                        && lastId == null
                        && ThreadLocalRandom.current().nextDouble() < TRUNCATED_SHARE;
                write(connection, fields);
                for (int i = first; i <= EVENTS; i++) {
                    Threads.sleep(5);
                    String chunk = chunk(event(attempt, i));
                    if (truncates && i == TRUNCATED_EVENT) {
                        truncated.incrementAndGet();
                        record.line("%s truncates its answer to %s in event %d, an extra answer arrives",
                                runner.id(), attempt, i);
                        write(connection, chunk.substring(0, TRUNCATED_BYTES));
                        Threads.sleep(COPY_DELAY_MILLIS);
                        write(connection, previous);
                        return false;
                    }
                    write(connection, chunk);
                }
                write(connection, "0\r\n\r\n");
                return true;
            };
            store.put("config", "main", Config.state(
                    1,
                    "\"key-1\"",
                    Config.engineService("llm"),
                    Config.route("redraft", "/redraft/", "streaming", 10_000, 2, "llm")));
            for (int i = 0; i < 3; i++) {
                new Runner("i-" + i, "llm", behaviour).beat(store, "ready");
            }
            entry.start();
            if (!entry.awaitReady(30)) {
                record.line("the entry did not become ready");
                System.exit(2);
            }
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                threads.add(Threads.start("client", () -> {
                    try (Client client = new Client(entry.callersPort(), 10_000)) {
                        for (int j = 0; j < REQUESTS_PER_CLIENT; j++) {
                            Client.Result result = client.call(
                                    "POST", "/redraft/x", "Model: m\r\nToken-Counts: 1000,400\r\n", new byte[1200]);
                            String body = new String(result.body(), StandardCharsets.ISO_8859_1);
                            if (result.status() == 200 && body.equals(stream(result.attempt()))) {
                                served.incrementAndGet();
                            } else if (result.status() == 200) {
                                broken.incrementAndGet();
                                record.line("BROKEN: %s got 200, signature %s, a whole stream, and this in it: %s",
                                        result.attempt(), result.signature(), firstForeignEvent(result.attempt(), body));
                            } else {
                                record.line("%s got %d %s", result.attempt(), result.status(), result.error());
                            }
                        }
                    }
                }));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            record.line("%d of %d streams served, %d truncated, %d clients got a stream that is not the runner's",
                    served.get(), CLIENTS * REQUESTS_PER_CLIENT, truncated.get(), broken.get());
        }
        System.exit(broken.get() > 0 ? 1 : served.get() == 0 ? 2 : 0);
    }

    private static void write(Runner.Connection connection, String text) throws IOException {
        connection.out().write(Http.bytes(text));
        connection.out().flush();
    }

    private static String chunk(String event) {
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }

    private static String event(String attempt, int id) {
        String start = "id: " + id + "\ndata: " + attempt + " " + id + " ";
        return start + "x".repeat(EVENT_BYTES - start.length() - 2) + "\n\n";
    }

    private static String stream(String attempt) {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            events.append(event(attempt, i));
        }
        return events.toString();
    }

    private static String firstForeignEvent(String attempt, String body) {
        String expected = stream(attempt);
        int same = 0;
        while (same < Math.min(expected.length(), body.length()) && expected.charAt(same) == body.charAt(same)) {
            same++;
        }
        int start = Math.max(0, same - 40);
        return body.substring(start, Math.min(body.length(), same + 220)).replace("\r\n", " | ").replace("\n", " / ");
    }
}
