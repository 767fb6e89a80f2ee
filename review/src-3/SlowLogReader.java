import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The reader of an entry's log pauses for some seconds while an entry of another writer is in the list of runners. The
 * entry must go on answering: logging never blocks it.
 */
final class SlowLogReader {
    private static final int ROUTE_TIMEOUT_MILLIS = 1_500;
    private static final int CLIENT_TIMEOUT_MILLIS = 3_000;

    /** Time after a route's timeout within which its requests must be answered. */
    private static final int ANSWER_SLACK_MILLIS = 500;

    private static final int CLIENTS = 8;
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int CALM_MILLIS = 6_000;
    private static final int PAUSE_MILLIS = 15_000;

    /** Longer than a page of memory: a shorter line may still fit into the last page of a pipe that is full. */
    private static final String LONG_VALUE = "x".repeat(6_000);

    private SlowLogReader() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Entry.newFolder();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger open = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger calm = new AtomicInteger();
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Store store = new Store();
                Entry entry = new Entry("entry-1", directory, store.port())) {
            store.put("config", "main", Config.state(
                    1,
                    "\"key-1\"",
                    Config.service("app"),
                    Config.route("booking", "/booking/", "non_idempotent", ROUTE_TIMEOUT_MILLIS, 1, "app")));
            List<Runner> runners = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                runners.add(new Runner("i-" + i, "app", (runner, head, connection) -> {
                    Http.readRequestBody(head, connection.in());
                    Threads.sleep(20);
                    runner.send(connection, 200, head, "", "body of " + head.field("Attempt-Id"));
                    return true;
                }));
            }
            Threads.start("heartbeats", () -> {
                for (int beat = 0; true; beat++) {
                    for (Runner runner : runners) {
                        runner.beat(store, "ready");
                    }
                    store.put("servers", "other-writer", "{\"beat\":" + beat + ",\"version\":[\"" + LONG_VALUE + "\"]}");
                    Threads.sleep(HEARTBEAT_MILLIS);
                }
            });
            entry.start();
            if (!entry.awaitReady(30)) {
                record.line("the entry did not become ready");
                System.exit(2);
            }
            long start = System.nanoTime();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                threads.add(Threads.start("client", () -> {
                    try (Client client = new Client(entry.callersPort(), CLIENT_TIMEOUT_MILLIS)) {
                        while (millisSince(start) < CALM_MILLIS + PAUSE_MILLIS) {
                            long sent = millisSince(start);
                            Client.Result result = client.call("POST", "/booking/x", "", new byte[600]);
                            boolean isInTime = result.status() != 0
                                    && result.millis() <= ROUTE_TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS;
                            if (sent < CALM_MILLIS) {
                                calm.addAndGet(isInTime ? 1 : 0);
                            } else {
                                (isInTime ? answered : late).incrementAndGet();
                                open.addAndGet(result.millis() > ROUTE_TIMEOUT_MILLIS ? 1 : 0);
                            }
                            if (!isInTime) {
                                record.line(
                                        "%s sent at %d ms: no answer after %d ms (%d %s)",
                                        result.attempt(), sent, result.millis(), result.status(), result.error());
                            }
                            Threads.sleep(20);
                        }
                    }
                }));
            }
            Threads.sleep(CALM_MILLIS);
            if (trouble) {
                record.line("the reader of the entry's log pauses");
                entry.setLogRead(false);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            record.line("ready after the pause began: %s", entry.isReady());
            entry.setLogRead(true);
            Threads.sleep(1_000);
            record.line("ready after the log is read again: %s", entry.isReady());
            record.line(
                    "%d requests answered before; then %d answered in time, %d unanswered at their route's timeout, %d of"
                            + " them without an answer %d ms later",
                    calm.get(), answered.get(), open.get(), late.get(), ANSWER_SLACK_MILLIS);
        }
        if (calm.get() == 0) {
            System.exit(2);
        }
        System.exit(late.get() * 2 > open.get() ? 1 : 0);
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
