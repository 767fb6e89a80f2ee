import java.io.IOException;

/** All processes are killed on a machine with a narrow link, after the desired state has grown by many routes. */
final class NarrowLink {
    private static final int STEPS = 14;
    private static final int ROUTES_PER_STEP = 334;
    private static final int STEP_MILLIS = 1_500;
    private static final int VALUE_BYTES = 1_048_576;

    /** 9.8 Mbit/s, the smallest link of the sheet. */
    private static final int LINK_BYTES_PER_SECOND = 1_225_000;

    private static final int DOWN_MILLIS = 1_000;
    private static final int RECOVERY_MILLIS = 15_000;
    private static final int REQUESTS = 40;
    private static final int REQUEST_GAP_MILLIS = 200;

    public static void main(String[] arguments) {
        Kit.main(arguments, NarrowLink::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        StoreStandIn store = new StoreStandIn();
        store.setBytesPerSecond(LINK_BYTES_PER_SECOND);
        Kit.Runner runner = new Kit.Runner("i-7f3a91c2", "app", (request, connection) -> {
            connection.respond(request, "done");
        });
        store.write("config", "main", state(7, 0));
        runner.register(store);
        Kit.Entry entry = new Kit.Entry("edge-1", store.port(), Kit.Entry.bounds(
                "contactWindowMs", 4000, "drainTimeoutMs", 3000, "configApplyMs", 3000, "retryAllowance", 207));
        entry.start();
        entry.awaitReady();
        Kit.sleep(4000);
        for (int step = 1; step <= STEPS; step++) {
            String grown = state(7 + 2L * step, step * ROUTES_PER_STEP);
            if (grown.length() > VALUE_BYTES) {
                throw new Kit.NotRunnable("the desired state is larger than valueBytes");
            }
            store.write("config", "main", grown);
            Kit.Record.line("version " + (7 + 2 * step) + " is acknowledged; it has " + grown.length()
                    + " bytes, valueBytes is " + VALUE_BYTES);
            Kit.sleep(STEP_MILLIS);
        }
        Kit.sleep(4000);
        String newest = "/x" + (STEPS * ROUTES_PER_STEP - 1) + "/x";
        int before = serve(entry, "before", newest, "/again/x");
        if (before < REQUESTS / 4) {
            throw new Kit.NotRunnable("the newest version is not in force before the kill: " + before + " served");
        }
        if (trouble) {
            entry.signal("KILL");
            entry.process.waitFor();
            Kit.sleep(DOWN_MILLIS);
            entry.start();
        }
        Kit.sleep(RECOVERY_MILLIS);
        int after = serve(entry, "after", newest, "/again/x");
        Kit.Record.line("* of " + REQUESTS + " requests each, " + before + " were served before the fault and " + after
                + " more than 15 s after the processes are back; the entry is "
                + (entry.isReady() ? "ready" : "not ready"));
        return after < REQUESTS / 4;
    }

    private static int serve(Kit.Entry entry, String prefix, String... paths) {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Kit.Message answer = null;
            try {
                answer = Kit.call(
                        entry, Kit.request("GET", paths[i % paths.length], prefix + "-" + i, "key", 1000, 0), 3000);
            } catch (IOException e) {
                // No connection, which counts as not served.
            }
            served += answer != null && answer.status() == 200 ? 1 : 0;
            Kit.Record.line(prefix + "-" + i + ": " + (answer == null ? "no answer" : answer.status()));
            Kit.sleep(REQUEST_GAP_MILLIS);
        }
        return served;
    }

    private static String state(long version, int count) {
        StringBuilder routes = new StringBuilder();
        for (int i = 0; i < count; i++) {
            routes.append(",{\"name\":\"r-x" + i + "\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/x" + i
                    + "/\",\"routeKind\":\"idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":500,\"priority\":1,"
                    + "\"service\":\"app\",\"maxAttempts\":2,\"public\":false}");
        }
        return Kit.desiredState(version, 1000, "key").replace("],\"services\"", routes + "],\"services\"");
    }
}
