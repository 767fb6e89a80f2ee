import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server answers before it has read a long body, without a length, and breaks one of its answers off: its process ends
 * with unread bytes, which resets the connection.
 */
final class ResetUnframed implements Case.Script {
    private static final int BODY_BYTES = 4_190_000;
    private static final int ANSWER_BYTES = 4_800;
    private static final int REQUESTS = 20;
    private static final int BROKEN_REQUEST = 10;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        byte[] whole = new byte[ANSWER_BYTES];
        Arrays.fill(whole, (byte) 'w');
        AtomicInteger runs = new AtomicInteger();
        Server.Handler handler = exchange -> {
            boolean isBroken = hasTrouble && runs.incrementAndGet() == BROKEN_REQUEST;
            exchange.ran("a body of " + exchange.head.contentLength() + " bytes is announced");
            exchange.write(exchange.head(
                    "200 OK", Map.of("Response-Signature", "sig-" + exchange.attempt()), "Connection: close"));
            if (isBroken) {
                exchange.write(Arrays.copyOf(whole, ANSWER_BYTES / 2));
                Thread.sleep(300);
                record.line("the server ends within its answer to " + exchange.attempt() + ", after " + ANSWER_BYTES / 2
                        + " of " + ANSWER_BYTES + " bytes; the unread body makes that a reset");
                return false;
            }
            exchange.write(whole);
            exchange.readBody();
            return false;
        };
        try (Store store = new Store(record);
                Server first = new Server(record, "i-booking-1", 64 * 1024, handler);
                Server second = new Server(record, "i-booking-2", 64 * 1024, handler);
                Deployment deployment = new Deployment(record, store.address())) {
            store.put(
                    "config",
                    "main",
                    new Store.DesiredState(1)
                            .route("book", "non_idempotent", "tankwa-app", 2, 10_000)
                            .tenant("coop", "key-1")
                            .json());
            store.put("servers", first.id, Store.serverEntry("tankwa-app", first.address(), "ready", 1));
            store.put("servers", second.id, Store.serverEntry("tankwa-app", second.address(), "ready", 1));
            Deployment.Entry entry = deployment.entry("edge-bahirdar-1", "bahirdar");
            entry.start();
            entry.awaitReady();
            int mixed = 0;
            int served = 0;
            for (int i = 1; i <= REQUESTS; i++) {
                String attempt = "attempt-" + i;
                record.line("client sends " + attempt + " with a body of " + BODY_BYTES + " bytes");
                Client.Answer answer = call(entry, attempt);
                record.line("client gets for " + attempt + ": " + answer);
                boolean isSuccess = answer.isComplete() && answer.status / 100 == 2;
                served += isSuccess && Arrays.equals(answer.body, whole) ? 1 : 0;
                if (isSuccess && !Arrays.equals(answer.body, whole)) {
                    record.line("MIXED: a complete success whose body is not the server's whole body, "
                            + answer.body.length + " of " + ANSWER_BYTES + " bytes");
                    mixed++;
                }
            }
            record.line(served + " of " + REQUESTS + " requests were served");
            if (served < REQUESTS - 1) {
                throw new NotRunnable("requests without a broken answer were not served");
            }
            return mixed > 0;
        }
    }

    private static Client.Answer call(Deployment.Entry entry, String attempt) throws java.io.IOException {
        try (Client client = new Client(entry.ip, entry.port, 15_000)) {
            client.send(
                    "POST",
                    "/book/1",
                    Map.of("Host", "ferry.example", "Attempt-Id", attempt, "Deadline-Ms", "10000", "X-Api-Key", "key-1"),
                    new byte[BODY_BYTES]);
            return client.readAnswer();
        }
    }
}
