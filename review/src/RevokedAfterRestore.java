import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A key is withdrawn. The store is away for two seconds and comes back from a copy of before; meanwhile the entry was
 * killed and has started again. Until the operator writes its desired state again, the copy shows the withdrawn key.
 */
final class RevokedAfterRestore implements Case.Script {
    private static final long REVOCATION_MILLIS = 5000;
    private static final long STORE_AWAY_MILLIS = 2000;

    /** Time after the return of the store in which the operator writes its desired state again. */
    private static final long REWRITE_MILLIS = 900;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        Map<String, Long> sentMillis = new ConcurrentHashMap<>();
        AtomicInteger lateRuns = new AtomicInteger();
        AtomicInteger servedBefore = new AtomicInteger();
        AtomicInteger servedOfOther = new AtomicInteger();
        long[] acknowledged = {Long.MAX_VALUE / 2};
        try (Store store = new Store(record);
                Server server = new Server(record, "i-booking-1", 0, exchange -> {
                    exchange.readBody();
                    exchange.ran("for tenant " + exchange.head.fields().get("Tenant"));
                    long sent = sentMillis.get(exchange.attempt());
                    boolean isWithdrawn = exchange.attempt().startsWith("withdrawn");
                    if (isWithdrawn && sent > acknowledged[0] + REVOCATION_MILLIS) {
                        record.line("CONFIG: " + exchange.attempt() + " was sent " + (sent - acknowledged[0])
                                + " ms after the acknowledgement that took its key away, and runs");
                        lateRuns.incrementAndGet();
                    }
                    exchange.answer("200 OK", Map.of("Response-Signature", "sig-" + exchange.attempt()), new byte[10]);
                    return true;
                });
                Deployment deployment = new Deployment(record, store.address())) {
            store.put("config", "main", state(7, "key-withdrawn", "key-kept"));
            store.put("servers", server.id, Store.serverEntry("tankwa-app", server.address(), "ready", 1));
            Deployment.Entry entry = deployment.entry("edge-bahirdar-1", "bahirdar");
            entry.start();
            entry.awaitReady();
            for (int i = 0; i < 5; i++) {
                servedBefore.addAndGet(call(record, entry, sentMillis, "withdrawn-before-" + i, "key-withdrawn") == 200 ? 1 : 0);
            }
            Store.Copy copy = store.copy();
            Thread.sleep(500);
            store.put("config", "main", state(9, "key-kept"));
            acknowledged[0] = record.millis();
            record.line("the store has acknowledged version 9, which takes key-withdrawn away");
            Thread.sleep(3500);
            if (hasTrouble) {
                store.setDown(true);
                entry.signal("KILL");
                entry.awaitExit(5000);
                Thread.sleep(500);
                entry.start();
                Thread.sleep(STORE_AWAY_MILLIS - 500);
                store.restore(copy);
                store.setDown(false);
            } else {
                Thread.sleep(STORE_AWAY_MILLIS);
            }
            long returned = record.millis();
            boolean isRewritten = false;
            for (int i = 0; record.millis() < returned + 4000; i++) {
                if (!isRewritten && record.millis() >= returned + REWRITE_MILLIS) {
                    isRewritten = true;
                    store.put("config", "main", state(9, "key-kept"));
                    record.line("the operator has written version 9 again");
                }
                if (record.millis() > acknowledged[0] + REVOCATION_MILLIS) {
                    call(record, entry, sentMillis, "withdrawn-late-" + i, "key-withdrawn");
                    servedOfOther.addAndGet(call(record, entry, sentMillis, "kept-" + i, "key-kept") == 200 ? 1 : 0);
                }
                Thread.sleep(100);
            }
            if (servedBefore.get() == 0 || servedOfOther.get() == 0) {
                throw new NotRunnable("requests with valid keys were not served");
            }
            return lateRuns.get() > 0;
        }
    }

    private static String state(long version, String... keys) {
        return new Store.DesiredState(version)
                .route("book", "non_idempotent", "tankwa-app", 2, 5000)
                .tenant("coop", keys)
                .json();
    }

    /** Returns the status, or 0 if there was no answer. */
    private static int call(
            Record record, Deployment.Entry entry, Map<String, Long> sentMillis, String attempt, String key) {
        sentMillis.put(attempt, record.millis());
        try (Client client = new Client(entry.ip, entry.port, 2000)) {
            client.send(
                    "POST",
                    "/book/1",
                    Map.of("Host", "ferry.example", "Attempt-Id", attempt, "Deadline-Ms", "1000", "X-Api-Key", key),
                    new byte[100]);
            Client.Answer answer = client.readAnswer();
            record.line(attempt + " with " + key + ": " + answer);
            return answer.status;
        } catch (java.io.IOException e) {
            record.line(attempt + " with " + key + ": " + e.getMessage());
            return 0;
        }
    }
}
