import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The entry gets SIGTERM twice while it finishes its requests. */
final class SecondTerm implements Case.Script {
    private static final int REQUESTS = 8;
    private static final long WORK_MILLIS = 2500;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger runs = new AtomicInteger();
        try (Store store = new Store(record);
                Server server = new Server(record, "i-booking-1", 0, exchange -> {
                    exchange.readBody();
                    runs.incrementAndGet();
                    exchange.ran("takes " + WORK_MILLIS + " ms");
                    Thread.sleep(WORK_MILLIS);
                    exchange.answer("200 OK", Map.of("Response-Signature", "sig-" + exchange.attempt()), new byte[800]);
                    return true;
                });
                Deployment deployment = new Deployment(record, store.address())) {
            store.put("config", "main", new Store.DesiredState(1)
                    .route("book", "non_idempotent", "tankwa-app", 2, 10_000)
                    .tenant("coop", "key-1")
                    .json());
            store.put("servers", server.id, Store.serverEntry("tankwa-app", server.address(), "ready", 1));
            Deployment.Entry entry = deployment.entry("edge-bahirdar-1", "bahirdar");
            entry.start();
            entry.awaitReady();
            List<Thread> clients = new ArrayList<>();
            for (int i = 1; i <= REQUESTS; i++) {
                String attempt = "attempt-" + i;
                clients.add(Threads.start(attempt, () -> {
                    Client.Answer answer;
                    try (Client client = new Client(entry.ip, entry.port, 12_000)) {
                        record.line("client sends " + attempt);
                        client.send(
                                "POST",
                                "/book/1",
                                Map.of("Host", "ferry.example", "Attempt-Id", attempt, "Deadline-Ms", "10000", "X-Api-Key", "key-1"),
                                new byte[600]);
                        answer = client.readAnswer();
                    } catch (java.io.IOException e) {
                        answer = new Client.Answer();
                        answer.error = e.getMessage();
                    }
                    record.line("client gets for " + attempt + ": " + answer);
                    if (!answer.isComplete()) {
                        lost.incrementAndGet();
                    }
                }));
            }
            while (runs.get() < REQUESTS) {
                Thread.sleep(20);
                if (record.millis() > 30_000) {
                    throw new NotRunnable("the requests did not reach the server");
                }
            }
            entry.signal("TERM");
            if (hasTrouble) {
                Thread.sleep(1000);
                entry.signal("TERM");
            }
            boolean hasEnded = entry.awaitExit(9000);
            record.line("the entry has ended: " + hasEnded + ", exit code " + entry.exitCode());
            for (Thread client : clients) {
                client.join();
            }
            record.line("LOST: " + lost.get() + " of " + REQUESTS
                    + " requests that a server was running got no answer; gracePeriodS is 8");
            return lost.get() > 0;
        }
    }
}
