import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves an entry among the servers, one field of which is of another type: a list within lists. Then the
 * entry process is killed and started again.
 */
final class UnreadableEntry implements Case.Script {
    private static final long RECOVERY_MILLIS = 12_000;
    private static final int DEPTH = 300;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        try (Store store = new Store(record);
                Server server = new Server(record, "i-booking-1", 0, exchange -> {
                    exchange.readBody();
                    runs.incrementAndGet();
                    exchange.ran("answers at once");
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
            int servedBefore = serve(record, entry, "before");
            if (hasTrouble) {
                store.put("servers", "i-other-writer", "{\"service\":\"tankwa-app\",\"address\":"
                        + "[".repeat(DEPTH) + "]".repeat(DEPTH) + "}");
                record.line("another writer has written the entry i-other-writer, whose address is a list within lists");
            }
            Thread.sleep(500);
            entry.signal("KILL");
            entry.awaitExit(5000);
            Thread.sleep(1000);
            entry.start();
            Thread.sleep(RECOVERY_MILLIS);
            record.line("recoveryS has passed since the process is back");
            int servedAfter = serve(record, entry, "after");
            record.line("served " + servedBefore + " of 20 before, " + servedAfter + " of 20 after; ready: " + entry.isReady());
            if (servedBefore < 5) {
                throw new NotRunnable("less than a quarter was served before");
            }
            entry.log("store.lost").stream().limit(2).forEach(record::line);
            return servedAfter < 5;
        }
    }

    private static int serve(Record record, Deployment.Entry entry, String name) throws InterruptedException {
        int served = 0;
        for (int i = 1; i <= 20; i++) {
            String attempt = name + "-" + i;
            try (Client client = new Client(entry.ip, entry.port, 2000)) {
                client.send(
                        "POST",
                        "/book/1",
                        Map.of("Host", "ferry.example", "Attempt-Id", attempt, "Deadline-Ms", "1000", "X-Api-Key", "key-1"),
                        new byte[600]);
                Client.Answer answer = client.readAnswer();
                record.line("client gets for " + attempt + ": " + answer);
                served += answer.isComplete() && answer.status == 200 ? 1 : 0;
            } catch (java.io.IOException e) {
                record.line("client gets for " + attempt + ": " + e.getMessage());
            }
            Thread.sleep(50);
        }
        return served;
    }
}
