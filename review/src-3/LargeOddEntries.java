import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Agents of another writer leave large entries among those of the runners, and write them again at their start. All
 * machines lose power once; the entry must serve again within {@code recoveryS}.
 */
final class LargeOddEntries {
    private static final int ROUTE_TIMEOUT_MILLIS = 1_500;
    private static final int CLIENT_TIMEOUT_MILLIS = 3_000;
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int RECOVERY_MILLIS = 12_000;
    private static final int DOWN_MILLIS = 1_000;
    private static final int CLIENTS = 4;
    private static final int REQUEST_INTERVAL_MILLIS = 250;

    /** Time for which requests are sent before the fault, and later than recoveryS after it, as on days of the bench. */
    private static final int TRAFFIC_MILLIS = 4_000;

    private static final int RUNNERS = 3;
    private static final int AGENTS = 6;

    /** A little less than the valueBytes of the settings. */
    private static final int AGENT_ENTRY_BYTES = 1_040_000;

    /** Time from the return of the machines to the start of the agents, and to that of the runners. */
    private static final int AGENT_START_MILLIS = 2_000;

    private static final int RUNNER_START_MILLIS = 3_000;

    /** Share of the requests that must be served after the fault if it was served before. */
    private static final double LEAST_SHARE = 0.25;

    private LargeOddEntries() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Entry.newFolder();
        List<Runner> alive = new CopyOnWriteArrayList<>();
        boolean isBroken;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Store store = new Store();
                Entry entry = new Entry("entry-1", directory, store.port())) {
            store.put("config", "main", Config.state(
                    1,
                    "\"key-1\"",
                    Config.service("app"),
                    Config.route("status", "/status/", "idempotent", ROUTE_TIMEOUT_MILLIS, 2, "app")));
            if (trouble) {
                startAgents(store, record);
            }
            startRunners("first", alive, store);
            Threads.start("heartbeats", () -> {
                while (true) {
                    alive.forEach(runner -> runner.beat(store, "ready"));
                    Threads.sleep(HEARTBEAT_MILLIS);
                }
            });
            entry.start();
            if (!entry.awaitReady(30)) {
                record.line("the entry did not become ready");
                System.exit(2);
            }
            double before = servedShare("before the fault", entry, record);
            record.line("all machines lose power");
            List<Runner> ended = List.copyOf(alive);
            alive.clear();
            entry.kill();
            ended.forEach(Runner::close);
            Threads.sleep(DOWN_MILLIS);
            entry.start();
            long backNanos = System.nanoTime();
            record.line("the machines are back; the entry starts");
            Threads.sleep(AGENT_START_MILLIS);
            if (trouble) {
                startAgents(store, record);
            }
            Threads.sleep(RUNNER_START_MILLIS - AGENT_START_MILLIS);
            ended.forEach(runner -> store.remove("servers", runner.id()));
            startRunners("second", alive, store);
            record.line("the runners are back and registered");
            Threads.sleep(RECOVERY_MILLIS + 100 - (System.nanoTime() - backNanos) / 1_000_000);
            double after = servedShare("later than recoveryS after the return", entry, record);
            isBroken = before >= LEAST_SHARE && after < LEAST_SHARE;
            String log = Files.readString(directory.resolve("entry-1.log"));
            record.line(
                    "lines of the log on answers of the store that were given up: %d; with OutOfMemoryError: %d",
                    log.lines()
                            .filter(line -> line.contains("cannot parse the body") || line.contains("was not complete"))
                            .count(),
                    log.lines().filter(line -> line.contains("OutOfMemoryError")).count());
            if (before < LEAST_SHARE) {
                System.exit(2);
            }
        }
        System.exit(isBroken ? 1 : 0);
    }

    /** Writes the entry of each agent, as it does at its start. */
    private static void startAgents(Store store, Record record) {
        String odd = "{\"samples\":[" + "0,".repeat(AGENT_ENTRY_BYTES / 2) + "0]}";
        for (int i = 0; i < AGENTS; i++) {
            store.put("servers", "agent-" + i, odd);
        }
        record.line("another writer has written %d entries of %d bytes", AGENTS, odd.length());
    }

    private static void startRunners(String name, List<Runner> alive, Store store) throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            Runner started = new Runner("i-" + name + "-" + i, "app", (runner, head, connection) -> {
                Http.readRequestBody(head, connection.in());
                Threads.sleep(20);
                runner.send(connection, 200, head, "", "body of " + head.field("Attempt-Id"));
                return true;
            });
            started.beat(store, "ready");
            alive.add(started);
        }
    }

    /** Returns the share of the requests that were served. */
    private static double servedShare(String phase, Entry entry, Record record) throws InterruptedException {
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        long endNanos = System.nanoTime() + TRAFFIC_MILLIS * 1_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            threads.add(Threads.start("client", () -> {
                try (Client client = new Client(entry.callersPort(), CLIENT_TIMEOUT_MILLIS)) {
                    while (System.nanoTime() < endNanos) {
                        sent.incrementAndGet();
                        Client.Result result = client.call("GET", "/status/x", "", new byte[0]);
                        if (result.status() == 200) {
                            served.incrementAndGet();
                        } else {
                            record.line(
                                    "%s got %d %s after %d ms",
                                    result.attempt(), result.status(), result.error(), result.millis());
                        }
                        Threads.sleep(REQUEST_INTERVAL_MILLIS);
                    }
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record.line("%s: %d of %d requests served", phase, served.get(), sent.get());
        return served.get() / (double) sent.get();
    }
}
