import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** The store comes back from a copy that lacks the withdrawal of a key, an entry starts beside it, and the operator writes again 1.9 s later. */
final class RestoredStart {
    private static final int REVOCATION_MILLIS = 5000;
    private static final int AWAY_MILLIS = 3500;
    private static final int REWRITE_MILLIS = 1900;

    public static void main(String[] arguments) {
        Kit.main(arguments, RestoredStart::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        StoreStandIn store = new StoreStandIn();
        Kit.Runner runner = new Kit.Runner("i-7f3a91c2", "app", (request, connection) -> {
            connection.respond(request, "done");
        });
        store.write("config", "main", Kit.desiredState(7, 1000, "withdrawn-key", "other-key"));
        runner.register(store);
        Kit.Entry entry = new Kit.Entry("edge-1", store.port(), Kit.Entry.bounds("revocationMs", REVOCATION_MILLIS));
        entry.start();
        entry.awaitReady();
        Kit.sleep(4000);
        check(entry, runner, "before", "withdrawn-key", true);
        StoreStandIn.Copy copy = store.copy();
        Kit.sleep(3000);
        String withdrawn = Kit.desiredState(9, 1000, "", "other-key");
        if (trouble) {
            store.writeAndGoAway("config", "main", withdrawn);
        } else {
            store.write("config", "main", withdrawn);
        }
        long acknowledged = Kit.millis();
        Kit.Record.line("version 9, which takes the key away, is acknowledged" + (trouble ? "; the store goes away" : ""));
        if (trouble) {
            Kit.sleep(500);
            entry.signal("KILL");
            entry.process.waitFor();
        }
        Kit.thread("operator", () -> {
            if (!trouble) {
                return;
            }
            Kit.sleepUntil(acknowledged + AWAY_MILLIS);
            store.returnFrom(copy);
            startAgain(entry);
            Kit.Record.line("the store is back, from a copy 3 s older than the acknowledgement, with Store-Era 2");
            Kit.sleepUntil(acknowledged + AWAY_MILLIS + REWRITE_MILLIS);
            store.write("config", "main", withdrawn);
            Kit.Record.line("the operator has written version 9 again");
        });
        AtomicInteger late = new AtomicInteger();
        int number = 0;
        while (Kit.millis() < acknowledged + 9000) {
            number++;
            long sent = Kit.millis() - acknowledged;
            String id = "w-" + number;
            Kit.Message answer = call(entry, id, "withdrawn-key");
            boolean ran = runner.runs.contains(id);
            boolean isLate = ran && sent > REVOCATION_MILLIS;
            if (isLate) {
                late.incrementAndGet();
            }
            Kit.Record.line(id + " sent " + sent + " ms after the acknowledgement: "
                    + (answer == null ? "no answer" : answer.status()) + (ran ? ", ran" : ", did not run")
                    + (isLate ? "  <-- with a key that was taken away" : ""));
            Kit.sleep(20);
        }
        check(entry, runner, "after", "other-key", true);
        Kit.Record.line("* " + late.get() + " requests ran that were sent more than " + REVOCATION_MILLIS
                + " ms after their key was taken away");
        return late.get() > 0;
    }

    private static void startAgain(Kit.Entry entry) {
        try {
            entry.start();
        } catch (IOException e) {
            throw new Kit.NotRunnable(e.toString());
        }
    }

    private static Kit.Message call(Kit.Entry entry, String id, String key) {
        try {
            return Kit.call(entry, Kit.request("GET", "/again/x", id, key, 1000, 0), 3000);
        } catch (IOException e) {
            return null;
        }
    }

    private static void check(Kit.Entry entry, Kit.Runner runner, String id, String key, boolean runs) {
        Kit.Message answer = call(entry, id, key);
        if (answer == null || (answer.status() == 200) != runs) {
            throw new Kit.NotRunnable("request " + id + " got " + answer);
        }
    }
}
