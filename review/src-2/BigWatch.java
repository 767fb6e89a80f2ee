import java.io.IOException;

/** The store turns the entry away for some seconds, in which several large desired states are acknowledged. */
final class BigWatch {
    private static final int ROUTES = 4_600;
    private static final int VALUE_BYTES = 1_048_576;
    private static final int VERSIONS = 12;
    private static final int GAP_MILLIS = 330;
    private static final int TURNED_AWAY_MILLIS = 4_500;
    private static final int CONTACT_WINDOW_MILLIS = 3_000;
    private static final int OUTER_BOUND_MILLIS = 5_000;
    private static final int WATCHED_MILLIS = 14_000;

    public static void main(String[] arguments) {
        Kit.main(arguments, BigWatch::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        StoreStandIn store = new StoreStandIn();
        Kit.Runner former = new Kit.Runner("i-former", "app", (request, connection) -> {
            connection.respond(request, "former");
        });
        Kit.Runner current = new Kit.Runner("i-current", "next", (request, connection) -> {
            connection.respond(request, "current");
        });
        String first = state(7, "app");
        if (first.length() > VALUE_BYTES) {
            throw new Kit.NotRunnable("the desired state is larger than valueBytes");
        }
        Kit.Record.line("a desired state has " + first.length() + " bytes, valueBytes is " + VALUE_BYTES);
        store.write("config", "main", first);
        former.register(store);
        current.register(store);
        Kit.Entry entry = new Kit.Entry("edge-1", store.port(), Kit.Entry.bounds());
        entry.start();
        entry.awaitReady();
        Kit.sleep(4000);
        call(entry, "before", "/open/x");
        long begin = Kit.millis();
        if (trouble) {
            store.setTurnsAway(true);
            Kit.Record.line("the store turns the entry away with 503");
        }
        for (int i = 1; i <= VERSIONS; i++) {
            store.write("config", "main", state(7 + 2L * i, "next"));
            Kit.Record.line("version " + (7 + 2 * i) + ", which moves both routes to another service, is acknowledged");
            Kit.sleep(GAP_MILLIS);
        }
        Kit.sleepUntil(begin + TURNED_AWAY_MILLIS);
        store.setTurnsAway(false);
        long back = Kit.millis();
        Kit.Record.line("the store serves the entry");
        int ranFormer = 0;
        int refused = 0;
        int sent = 0;
        for (int i = 0; Kit.millis() < back + WATCHED_MILLIS; i++) {
            long after = Kit.millis() - back;
            boolean isBound = after > CONTACT_WINDOW_MILLIS + OUTER_BOUND_MILLIS;
            Kit.Message open = call(entry, "open-" + i, "/open/x");
            Kit.Message keyed = call(entry, "keyed-" + i, "/keyed/x");
            boolean isFormer = former.runs.contains("open-" + i) || former.runs.contains("keyed-" + i);
            if (isBound) {
                sent++;
                ranFormer += isFormer ? 1 : 0;
                refused += keyed == null || keyed.status() != 200 ? 1 : 0;
            }
            Kit.Record.line("sent " + after + " ms after that: route without key " + text(open) + ", route with key "
                    + text(keyed) + (isBound && isFormer ? "  <-- run by the former service" : ""));
            Kit.sleep(200);
        }
        Kit.Record.line("* of " + sent + " pairs of requests sent over 8 s after the end of the disruption, " + ranFormer
                + " ran at the former service, and " + refused + " with a valid key were refused");
        return ranFormer > 0;
    }

    private static String text(Kit.Message answer) {
        if (answer == null) {
            return "no answer";
        }
        return answer.status() + (answer.status() == 200 ? " from the " + new String(answer.body()) + " service" : "");
    }

    private static Kit.Message call(Kit.Entry entry, String id, String path) {
        try {
            return Kit.call(entry, Kit.request("GET", path, id, "key", 1000, 0), 3000);
        } catch (IOException e) {
            return null;
        }
    }

    private static String state(long version, String service) {
        StringBuilder routes = new StringBuilder(route("open", service, true) + "," + route("keyed", service, false));
        for (int i = 0; i < ROUTES; i++) {
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
