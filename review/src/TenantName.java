import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A new desired state takes a key away, and adds a tenant whose name has a space. */
final class TenantName implements Case.Script {
    private static final long REVOCATION_MILLIS = 5000;
    private static final int CALLS = 20;

    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final AtomicInteger lateRuns = new AtomicInteger();
    private volatile long acknowledgedMillis = Long.MAX_VALUE / 2;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        try (Store store = new Store(record);
                Server server = new Server(record, "i-booking-1", 0, exchange -> {
                    exchange.readBody();
                    exchange.ran("for tenant " + exchange.head.fields().get("Tenant"));
                    long late = sentMillis.get(exchange.attempt()) - acknowledgedMillis;
                    if (exchange.attempt().startsWith("withdrawn") && late > REVOCATION_MILLIS) {
                        record.line("CONFIG: " + exchange.attempt() + " was sent " + late
                                + " ms after the acknowledgement that took its key away, and runs");
                        lateRuns.incrementAndGet();
                    }
                    exchange.answer("200 OK", Map.of("Response-Signature", "sig-" + exchange.attempt()), new byte[10]);
                    return true;
                });
                Deployment deployment = new Deployment(record, store.address())) {
            store.put("config", "main", state(7).tenant("coop", "key-withdrawn", "key-kept").json());
            store.put("servers", server.id, Store.serverEntry("tankwa-app", server.address(), "ready", 1));
            Deployment.Entry entry = deployment.entry("edge-bahirdar-1", "bahirdar");
            entry.start();
            entry.awaitReady();
            int served = call(record, entry, "withdrawn-before", "key-withdrawn") == 200 ? 1 : 0;
            Store.DesiredState next = state(9).tenant("coop", "key-kept");
            if (hasTrouble) {
                next.tenant("Lake Traders", "key-lake");
            }
            store.put("config", "main", next.json());
            acknowledgedMillis = record.millis();
            record.line("the store has acknowledged version 9, which takes key-withdrawn away"
                    + (hasTrouble ? " and adds the tenant \"Lake Traders\"" : ""));
            Thread.sleep(REVOCATION_MILLIS + 1000);
            for (int i = 1; i <= CALLS; i++) {
                call(record, entry, "withdrawn-" + i, "key-withdrawn");
                served += call(record, entry, "kept-" + i, "key-kept") == 200 ? 1 : 0;
                Thread.sleep(200);
            }
            if (hasTrouble) {
                call(record, entry, "lake", "key-lake");
            }
            record.line(lateRuns + " of " + CALLS + " requests with the withdrawn key ran; the entry process is "
                    + (entry.isReady() ? "ready" : "not ready"));
            if (hasTrouble) {
                entry.signal("KILL");
                entry.awaitExit(5000);
                entry.start();
                Thread.sleep(5000);
                call(record, entry, "kept-after-restart", "key-kept");
                record.line("5 s after a restart, the entry process is " + (entry.isReady() ? "ready" : "not ready"));
            }
            if (served < CALLS) {
                throw new NotRunnable("requests with valid keys were not served");
            }
            return lateRuns.get() > 0;
        }
    }

    private static Store.DesiredState state(long version) {
        return new Store.DesiredState(version).route("book", "non_idempotent", "tankwa-app", 2, 5000);
    }

    /** Returns the status, or 0 if there was no answer. */
    private int call(Record record, Deployment.Entry entry, String attempt, String key) {
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
        } catch (IOException e) {
            record.line(attempt + " with " + key + ": " + e.getMessage());
            return 0;
        }
    }
}
