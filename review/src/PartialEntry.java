import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer replaces the entry of a model runner by one that names another service, lacks fields and has one of
 * another type. The runner writes its own entry again with its next ping.
 */
final class PartialEntry implements Case.Script {
    private static final long PING_MILLIS = 1200;
    private static final long WORK_MILLIS = 100;
    private static final int CALLS = 24;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        AtomicInteger foreignRuns = new AtomicInteger();
        AtomicInteger wrongAnswers = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        try (Store store = new Store(record);
                Server booking = new Server(record, "i-booking-1", 0, exchange -> {
                    exchange.readBody();
                    exchange.ran(exchange.head.first());
                    Thread.sleep(WORK_MILLIS);
                    exchange.answer(
                            "200 OK",
                            Map.of("Response-Signature", "sig-" + exchange.attempt()),
                            "booked".getBytes(StandardCharsets.UTF_8));
                    return true;
                });
                Server model = new Server(record, "i-model-1", 0, exchange -> {
                    exchange.readBody();
                    exchange.ran(exchange.head.first());
                    if (exchange.head.first().contains("/book/")) {
                        record.line("ROUTE: a runner of tsehay-llm runs " + exchange.attempt()
                                + ", whose route goes to tankwa-app in every desired state");
                        foreignRuns.incrementAndGet();
                    }
                    exchange.answer(
                            "200 OK",
                            Map.of("Response-Signature", "sig-" + exchange.attempt()),
                            "text of the model".getBytes(StandardCharsets.UTF_8));
                    return true;
                });
                Deployment deployment = new Deployment(record, store.address())) {
            store.put("config", "main", new Store.DesiredState(1)
                    .route("book", "non_idempotent", "tankwa-app", 2, 5000)
                    .route("redraft", "idempotent", "tsehay-llm", 2, 5000)
                    .tenant("coop", "key-1")
                    .json());
            store.put("servers", booking.id, Store.serverEntry("tankwa-app", booking.address(), "ready", 1));
            String own = Store.serverEntry("tsehay-llm", model.address(), "ready", 1);
            store.put("servers", model.id, own);
            Deployment.Entry entry = deployment.entry("edge-bahirdar-1", "bahirdar");
            entry.start();
            entry.awaitReady();
            Thread.sleep(1000);
            long overwritten = record.millis();
            if (hasTrouble) {
                store.put("servers", model.id, "{\"service\":\"tankwa-app\",\"address\":\"127.0.0.1:"
                        + model.address().getPort() + "\",\"zone\":\"bahirdar\",\"slots\":\"6\",\"state\":\"ready\"}");
                record.line("another writer has written " + model.id
                        + " with the service tankwa-app, its slots as a text, and without version, coldRemainingMs, sequenceNumber and born");
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 1; i <= CALLS; i++) {
                if (record.millis() > overwritten + PING_MILLIS) {
                    store.put("servers", model.id, own);
                }
                String attempt = "attempt-" + i;
                clients.add(Threads.start(attempt, () -> {
                    try (Client client = new Client(entry.ip, entry.port, 6000)) {
                        client.send(
                                "POST",
                                "/book/1",
                                Map.of("Host", "ferry.example", "Attempt-Id", attempt, "Deadline-Ms", "1000", "X-Api-Key", "key-1"),
                                new byte[600]);
                        Client.Answer answer = client.readAnswer();
                        String body = new String(answer.body, StandardCharsets.UTF_8);
                        record.line("client gets for " + attempt + ": " + answer + ", \"" + body + "\"");
                        served.addAndGet(answer.status == 200 ? 1 : 0);
                        wrongAnswers.addAndGet(answer.status == 200 && !body.equals("booked") ? 1 : 0);
                    }
                }));
                Thread.sleep(40);
            }
            for (Thread client : clients) {
                client.join();
            }
            record.line(foreignRuns + " bookings ran on the model runner; " + wrongAnswers
                    + " clients got its text as the answer to their booking");
            if (served.get() == 0) {
                throw new NotRunnable("no booking was served");
            }
            return foreignRuns.get() > 0;
        }
    }
}
