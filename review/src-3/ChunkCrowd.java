import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A crowd of clients sends bodies of legal size in chunks of one byte, at a part of the rate of the link. Ordinary
 * clients, most of them on new connections, must be answered meanwhile.
 */
final class ChunkCrowd {
    private static final int ROUTE_TIMEOUT_MILLIS = 1_500;
    private static final int CLIENT_TIMEOUT_MILLIS = 3_000;

    /** Time after a route's timeout within which its requests must be answered. */
    private static final int ANSWER_SLACK_MILLIS = 500;

    private static final int ORDINARY_CLIENTS = 12;
    private static final int CROWD_CLIENTS = 400;

    /** Bytes that the whole crowd sends in a second; the link of the site's machines carries 125 MB. */
    private static final long CROWD_BYTES_PER_SECOND = 50_000_000;

    /** Largest body that the desired state allows; the crowd stops before it. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final int CALM_MILLIS = 6_000;
    private static final int CROWD_MILLIS = 20_000;
    private static final int RETURN_MILLIS = 500;
    private static final byte[] CHUNKS = Http.bytes("1\r\nx\r\n".repeat(1_000));

    private static final AtomicLong CROWD_BYTES = new AtomicLong();
    private static final AtomicInteger CROWD_CONNECTIONS = new AtomicInteger();
    private static volatile boolean isStopped;
    private static long nextTurnNanos = System.nanoTime();

    private ChunkCrowd() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Entry.newFolder();
        AtomicInteger calm = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger open = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
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
                while (true) {
                    runners.forEach(runner -> runner.beat(store, "ready"));
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
            for (int i = 0; i < ORDINARY_CLIENTS; i++) {
                boolean isOnNewConnections = i % 3 != 0;
                threads.add(Threads.start("client", () -> {
                    try (Client client = new Client(entry.callersPort(), CLIENT_TIMEOUT_MILLIS)) {
                        while (millisSince(start) < CALM_MILLIS + CROWD_MILLIS) {
                            long sent = millisSince(start);
                            Client.Result result = client.call("POST", "/booking/x", "", new byte[600]);
                            boolean isServed = result.status() == 200 && result.millis() <= ROUTE_TIMEOUT_MILLIS;
                            if (sent < CALM_MILLIS) {
                                calm.addAndGet(isServed ? 1 : 0);
                            } else {
                                boolean isOpen = result.millis() > ROUTE_TIMEOUT_MILLIS;
                                boolean isLate = result.millis() > ROUTE_TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS;
                                (isServed ? served : refused).addAndGet(isOpen ? 0 : 1);
                                open.addAndGet(isOpen ? 1 : 0);
                                late.addAndGet(isLate ? 1 : 0);
                                if (!isServed) {
                                    record.line(
                                            "%s sent at %d ms on a %s connection: %d after %d ms %s",
                                            result.attempt(),
                                            sent,
                                            isOnNewConnections ? "new" : "kept",
                                            result.status(),
                                            result.millis(),
                                            result.error());
                                }
                            }
                            if (isOnNewConnections) {
                                client.disconnect();
                            }
                            Threads.sleep(20);
                        }
                    }
                }));
            }
            Threads.sleep(CALM_MILLIS);
            if (trouble) {
                record.line("%d clients begin to send bodies in chunks of one byte", CROWD_CLIENTS);
                for (int i = 0; i < CROWD_CLIENTS; i++) {
                    Threads.start("crowd", () -> misbehave(entry.callersPort()));
                }
            }
            int checks = 0;
            int readyChecks = 0;
            while (millisSince(start) < CALM_MILLIS + CROWD_MILLIS) {
                checks++;
                readyChecks += entry.isReady() ? 1 : 0;
                Threads.sleep(1_000);
            }
            isStopped = true;
            for (Thread thread : threads) {
                thread.join();
            }
            record.line(
                    "the crowd sent %d MB on %d connections; the entry answered %d of %d readiness checks with 200, and is %s",
                    CROWD_BYTES.get() / 1_000_000,
                    CROWD_CONNECTIONS.get(),
                    readyChecks,
                    checks,
                    entry.isAlive() ? "alive" : "gone");
            record.line(
                    "%d requests served before; then %d served and %d refused or failed within their route's timeout, %d"
                            + " unanswered at it, %d of them without an answer %d ms later",
                    calm.get(), served.get(), refused.get(), open.get(), late.get(), ANSWER_SLACK_MILLIS);
        }
        if (calm.get() == 0) {
            System.exit(2);
        }
        System.exit(late.get() * 2 > open.get() ? 1 : 0);
    }

    /** Sends a body that does not end, of less than the largest size; comes again if it was turned away. */
    private static void misbehave(int port) {
        while (!isStopped) {
            try (Socket socket = new Socket()) {
                socket.setSendBufferSize(64 * 1024);
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CLIENT_TIMEOUT_MILLIS);
                CROWD_CONNECTIONS.incrementAndGet();
                OutputStream out = socket.getOutputStream();
                out.write(Http.bytes("POST /booking/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + Client.newAttempt()
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
                for (int sent = 0; sent + 1_000 < MAX_BODY_BYTES && !isStopped; sent += 1_000) {
                    awaitTurn();
                    out.write(CHUNKS);
                    CROWD_BYTES.addAndGet(CHUNKS.length);
                }
                while (!isStopped) {
                    Threads.sleep(100);
                }
            } catch (IOException e) {
                Threads.sleep(RETURN_MILLIS);
            }
        }
    }

    /** Waits until the crowd may send the next chunks without exceeding its rate. */
    private static void awaitTurn() {
        long waitNanos;
        synchronized (ChunkCrowd.class) {
            long now = System.nanoTime();
            nextTurnNanos = Math.max(now, nextTurnNanos) + CHUNKS.length * 1_000_000_000L / CROWD_BYTES_PER_SECOND;
            waitNanos = nextTurnNanos - now;
        }
        if (waitNanos >= 1_000_000) {
            Threads.sleep((int) (waitNanos / 1_000_000));
        }
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
