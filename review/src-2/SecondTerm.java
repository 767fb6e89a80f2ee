import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A planned stop of an entry that is announced twice, while calls that may not be repeated run. */
final class SecondTerm {
    private static final int CLIENTS = 10;
    private static final int WORK_MILLIS = 1_500;
    private static final int TIME_LIMIT_MILLIS = 3_000;
    private static final int SECOND_SIGNAL_MILLIS = 700;

    public static void main(String[] arguments) {
        Kit.main(arguments, SecondTerm::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        StoreStandIn store = new StoreStandIn();
        CountDownLatch running = new CountDownLatch(CLIENTS);
        Kit.Runner runner = new Kit.Runner("i-7f3a91c2", "app", (request, connection) -> {
            running.countDown();
            Kit.sleep(WORK_MILLIS);
            connection.respond(request, "booked");
        });
        store.write("config", "main", Kit.desiredState(7, TIME_LIMIT_MILLIS, "key"));
        runner.register(store);
        Kit.Entry entry = new Kit.Entry("edge-1", store.port(), Kit.Entry.bounds());
        entry.start();
        entry.awaitReady();
        Kit.sleep(4000);
        AtomicInteger lost = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        for (int i = 1; i <= CLIENTS; i++) {
            String id = "b-" + i;
            Kit.thread("client-" + i, () -> {
                lost.addAndGet(isAnswered(entry, runner, id) ? 0 : 1);
                ended.countDown();
            });
        }
        if (!running.await(2, TimeUnit.SECONDS)) {
            throw new Kit.NotRunnable("the requests do not reach the runner");
        }
        entry.signal("TERM");
        Kit.sleep(SECOND_SIGNAL_MILLIS);
        if (trouble) {
            entry.signal("TERM");
        }
        if (!ended.await(10, TimeUnit.SECONDS)) {
            throw new Kit.NotRunnable("clients have not ended");
        }
        if (entry.process.waitFor(9, TimeUnit.SECONDS)) {
            Kit.Record.line("the process has ended with code " + entry.process.exitValue());
        }
        Kit.Record.line("* " + lost.get() + " of " + CLIENTS + " calls that ran got no complete answer");
        return lost.get() > 0;
    }

    private static boolean isAnswered(Kit.Entry entry, Kit.Runner runner, String id) {
        Kit.Message answer = null;
        String error = "";
        try {
            answer = Kit.call(entry, Kit.request("POST", "/once/x", id, "key", TIME_LIMIT_MILLIS, 600), 5_000);
        } catch (IOException e) {
            error = e.toString();
        }
        boolean isComplete = answer != null && answer.isComplete();
        Kit.Record.line(id + ": " + (isComplete ? "status " + answer.status() : "connection ended without an answer " + error)
                + (runner.runs.contains(id) ? ", ran" : ", did not run"));
        return isComplete;
    }
}
