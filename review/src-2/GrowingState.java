import java.io.IOException;

/** The desired state grows by many routes, and then changes in quick succession, on a machine with a narrow link. */
final class GrowingState {
    private static final int STEPS = 3;
    private static final int ROUTES_PER_STEP = 1_560;
    private static final int STEP_MILLIS = 4_000;
    private static final int VALUE_BYTES = 1_048_576;

    /** 9.8 Mbit/s, the smallest link of the sheet. */
    private static final int LINK_BYTES_PER_SECOND = 1_225_000;

    private static final int STORM_VERSIONS = 12;
    private static final int STORM_GAP_MILLIS = 330;

    /** The rule gives configApplyMs = 3,000; what is counted was sent later. */
    private static final int COUNTED_AFTER_MILLIS = 8_000;

    private static final int WATCHED_MILLIS = 14_000;

    public static void main(String[] arguments) {
        Kit.main(arguments, GrowingState::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        StoreStandIn store = new StoreStandIn();
        store.setBytesPerSecond(LINK_BYTES_PER_SECOND);
        Kit.Runner first = new Kit.Runner("i-first", "app", (request, connection) -> {
            connection.respond(request, "first");
        });
        Kit.Runner second = new Kit.Runner("i-second", "next", (request, connection) -> {
            connection.respond(request, "second");
        });
        long version = 7;
        int routes = 0;
        store.write("config", "main", state(version, routes, "app"));
        first.register(store);
        second.register(store);
        Kit.Entry entry = new Kit.Entry("edge-1", store.port(), Kit.Entry.bounds(
                "contactWindowMs", 4000, "drainTimeoutMs", 3000, "configApplyMs", 3000, "retryAllowance", 207));
        entry.start();
        entry.awaitReady();
        Kit.sleep(4000);
        if (trouble) {
            for (int step = 1; step <= STEPS; step++) {
                version += 2;
                routes += ROUTES_PER_STEP;
                write(store, version, routes, "app");
                Kit.sleep(STEP_MILLIS);
            }
        }
        for (int i = 1; i <= STORM_VERSIONS; i++) {
            version += 2;
            write(store, version, routes, i == STORM_VERSIONS ? "next" : "app");
            Kit.sleep(STORM_GAP_MILLIS);
        }
        long acknowledged = Kit.millis();
        Kit.Record.line("the last version moves both routes to another service; it is acknowledged");
        int sent = 0;
        int ranFormer = 0;
        int refused = 0;
        for (int i = 0; Kit.millis() < acknowledged + WATCHED_MILLIS; i++) {
            long after = Kit.millis() - acknowledged;
            boolean isCounted = after > COUNTED_AFTER_MILLIS;
            Kit.Message open = call(entry, "open-" + i, "/open/x");
            Kit.Message keyed = call(entry, "keyed-" + i, "/keyed/x");
            boolean isFormer = first.runs.contains("open-" + i) || first.runs.contains("keyed-" + i);
            if (isCounted) {
                sent++;
                ranFormer += isFormer ? 1 : 0;
                refused += keyed == null || keyed.status() != 200 ? 1 : 0;
            }
            Kit.Record.line("sent " + after + " ms after that: route without key " + text(open) + ", route with key "
                    + text(keyed) + (isCounted && isFormer ? "  <-- run by the former service" : ""));
            Kit.sleep(200);
        }
        Kit.Record.line("* of " + sent + " pairs of requests sent over 8 s after the last acknowledgement, " + ranFormer
                + " ran at the former service, and " + refused + " with a valid key were refused");
        return ranFormer > 0;
    }

    private static void write(StoreStandIn store, long version, int routes, String service) {
        String state = state(version, routes, service);
        if (state.length() > VALUE_BYTES) {
            throw new Kit.NotRunnable("the desired state is larger than valueBytes");
        }
        store.write("config", "main", state);
        Kit.Record.line("version " + version + " is acknowledged; it has " + state.length() + " bytes, valueBytes is "
                + VALUE_BYTES);
    }

    private static String text(Kit.Message answer) {
        if (answer == null) {
            return "no answer";
        }
        return answer.status() + (answer.status() == 200 ? " from the " + new String(answer.body()) + " runner" : "");
    }

    private static Kit.Message call(Kit.Entry entry, String id, String path) {
        try {
            return Kit.call(entry, Kit.request("GET", path, id, "key", 1000, 0), 3000);
        } catch (IOException e) {
            return null;
        }
    }

    private static String state(long version, int count, String service) {
        StringBuilder routes = new StringBuilder(route("open", service, true) + "," + route("keyed", service, false));
        for (int i = 0; i < count; i++) {
            routes.append(",").append(route("x" + i, "app", false));
        }
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
                + "{\"name\":\"app\",\"healthCheckPath\":\"/health\",\"connectionLimit\":400},"
                + "{\"name\":\"next\",\"healthCheckPath\":\"/health\",\"connectionLimit\":400}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"tenant-0\",\"apiKeys\":[\"key\"],\"priority\":1}]}";
    }

    private static String route(String name, String service, boolean isPublic) {
        return "{\"name\":\"r-" + name + "\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/" + name
                + "/\",\"routeKind\":\"idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":500,\"priority\":1,"
                + "\"service\":\"" + service + "\",\"maxAttempts\":2,\"public\":" + isPublic + "}";
    }
}
