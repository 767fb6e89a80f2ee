import java.util.concurrent.atomic.AtomicReference;

/** Requests whose path or query has bytes above 127, as clients send that do not escape UTF-8 text. */
final class PathBytes {
    private static final String[] RAW = {"/once/gondar-\u00c3\u00a9t\u00c3\u00a9", "/again/slots?place=\u00c3\u00a9t\u00c3\u00a9"};
    private static final String[] ESCAPED = {"/once/gondar-%C3%A9t%C3%A9", "/again/slots?place=%C3%A9t%C3%A9"};

    public static void main(String[] arguments) {
        Kit.main(arguments, PathBytes::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        StoreStandIn store = new StoreStandIn();
        AtomicReference<String> ran = new AtomicReference<>();
        Kit.Runner runner = new Kit.Runner("i-7f3a91c2", "app", (request, connection) -> {
            ran.set(request.startLine());
            connection.respond(request, "done");
        });
        store.write("config", "main", Kit.desiredState(7, 1000, "key"));
        runner.register(store);
        Kit.Entry entry = new Kit.Entry("edge-1", store.port(), Kit.Entry.bounds());
        entry.start();
        entry.awaitReady();
        int changed = 0;
        int number = 0;
        for (String path : trouble ? RAW : ESCAPED) {
            for (int repeat = 0; repeat < 5; repeat++) {
                number++;
                String method = path.startsWith("/once/") ? "POST" : "GET";
                ran.set(null);
                Kit.Message answer =
                        Kit.call(entry, Kit.request(method, path, "p-" + number, "key", 1000, 0), 3000);
                String sent = method + " " + path + " HTTP/1.1";
                boolean isChanged = ran.get() != null && !ran.get().equals(sent);
                changed += isChanged ? 1 : 0;
                Kit.Record.line("sent " + hex(sent) + "; ran " + (ran.get() == null ? "not" : hex(ran.get()))
                        + "; answered " + (answer == null ? "not" : answer.status() + " with "
                                + answer.header("Response-Signature"))
                        + (isChanged ? "  <-- changed" : ""));
            }
        }
        Kit.Record.line("* " + changed + " of " + number + " requests ran with another path or query than was sent");
        return changed > 0;
    }

    /** Returns a line whose characters are bytes, with those above 127 in hexadecimal. */
    private static String hex(String line) {
        StringBuilder text = new StringBuilder();
        for (char c : line.toCharArray()) {
            text.append(c > 126 ? String.format("<%02x>", (int) c) : String.valueOf(c));
        }
        return text.toString();
    }
}
