import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: lists, watches, creates and replaces objects. Answers one call on each connection. */
final class Store implements AutoCloseable {
    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");

    /** Bytes that are written at once to a link with a limited bandwidth. */
    private static final int PACKET_BYTES = 16 * 1024;

    private final Record record;
    private final ServerSocket server;
    private final Object linkLock = new Object();
    private Map<String, Map<String, StoredObject>> objects = new TreeMap<>();
    private List<Change> history = new ArrayList<>();
    private long revision = 100;
    private long era = 1;
    private volatile boolean isDown;
    private volatile double bytesPerMilli = Double.MAX_VALUE;
    private long linkFreeNanos = System.nanoTime();

    Store(Record record) throws IOException {
        this.record = record;
        server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Threads.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes an object, as the operator and the servers do. */
    synchronized void put(String kind, String name, String specification) {
        Map<String, StoredObject> ofKind = objects.computeIfAbsent(kind, key -> new TreeMap<>());
        StoredObject before = ofKind.get(name);
        if (before != null && before.specification.equals(specification)) {
            return;
        }
        revision++;
        StoredObject object = new StoredObject(name, specification, revision);
        ofKind.put(name, object);
        history.add(new Change(kind, object, false, revision, System.nanoTime()));
        notifyAll();
    }

    synchronized void delete(String kind, String name) {
        StoredObject object = objects.getOrDefault(kind, Map.of()).get(name);
        if (object != null) {
            objects.get(kind).remove(name);
            revision++;
            history.add(new Change(kind, object, true, revision, System.nanoTime()));
            notifyAll();
        }
    }

    /** Returns a copy of all objects, to which the store can return. */
    synchronized Copy copy() {
        Map<String, Map<String, StoredObject>> copied = new TreeMap<>();
        objects.forEach((kind, ofKind) -> copied.put(kind, new TreeMap<>(ofKind)));
        return new Copy(copied, new ArrayList<>(history), revision);
    }

    /** Returns to a copy: what was written since is lost, and the era rises. */
    synchronized void restore(Copy copy) {
        objects = new TreeMap<>();
        copy.objects.forEach((kind, ofKind) -> objects.put(kind, new TreeMap<>(ofKind)));
        history = new ArrayList<>(copy.history);
        revision = copy.revision;
        era++;
        notifyAll();
    }

    /** Sets whether the store resets each connection instead of answering. */
    synchronized void setDown(boolean value) {
        isDown = value;
        notifyAll();
        record.line(value ? "the store is down" : "the store answers again, era " + era);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            Threads.start("store call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            if (isDown) {
                socket.setSoLinger(true, 0);
                return;
            }
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return;
            }
            String body = new String(in.readNBytes((int) head.contentLength()), StandardCharsets.UTF_8);
            String[] first = head.first().split(" ");
            String answer = answer(first[0], first[1], body);
            if (answer == null || isDown) {
                socket.setSoLinger(true, 0);
                return;
            }
            byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
            for (int sent = 0; sent < bytes.length; sent += PACKET_BYTES) {
                int length = Math.min(PACKET_BYTES, bytes.length - sent);
                awaitLink(length);
                socket.getOutputStream().write(bytes, sent, length);
            }
        }
    }

    /** Sets the bandwidth of the link to the entries, which all answers share. */
    void limitLink(double megabitsPerSecond) {
        bytesPerMilli = megabitsPerSecond * 1e6 / 8 / 1e3;
    }

    private void awaitLink(int bytes) throws InterruptedException {
        long waitNanos;
        synchronized (linkLock) {
            long now = System.nanoTime();
            linkFreeNanos = Math.max(now, linkFreeNanos) + (long) (bytes / bytesPerMilli * 1e6);
            waitNanos = linkFreeNanos - now;
        }
        if (waitNanos > 1_000_000) {
            Thread.sleep(waitNanos / 1_000_000);
        }
    }

    private synchronized String answer(String method, String target, String body) throws InterruptedException {
        String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
        Map<String, String> query = query(target);
        String[] parts = path.split("/");
        String kind = parts[3];
        if (method.equals("GET")) {
            return query.containsKey("watch") ? watch(kind, query) : list(kind);
        }
        Matcher name = NAME.matcher(body);
        String objectName = name.find() ? name.group(1) : parts[4];
        if (method.equals("POST") && objects.getOrDefault(kind, Map.of()).containsKey(objectName)) {
            return http("409 Conflict", "{}");
        }
        put(kind, objectName, specification(body));
        return http("200 OK", "{}");
    }

    private String list(String kind) {
        List<String> items = new ArrayList<>();
        objects.getOrDefault(kind, Map.of()).values().forEach(object -> items.add(object.json()));
        return http("200 OK", "{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"at\":" + revision + "}");
    }

    private String watch(String kind, Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        long eraAtStart = era;
        while (!isDown && era == eraAtStart) {
            if (after > revision || after < droppedRevision()) {
                return http("410 Gone", "{}");
            }
            List<String> events = new ArrayList<>();
            for (Change change : history) {
                if (change.kind.equals(kind) && change.revision > after) {
                    events.add("{\"deleted\":" + change.isDeleted + ",\"object\":" + change.object.json() + "}");
                }
            }
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return http("200 OK", "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}");
            }
            wait(leftMillis);
        }
        return null;
    }

    /** Returns the revision up to which the history is gone; the store keeps 20 s of it. */
    private long droppedRevision() {
        long oldest = System.nanoTime() - 20_000_000_000L;
        long dropped = 0;
        for (Change change : history) {
            dropped = change.atNanos - oldest < 0 ? change.revision : dropped;
        }
        return dropped;
    }

    private String http(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nStore-Era: " + era
                + "\r\nConnection: close\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n"
                + body;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        if (target.contains("?")) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return query;
    }

    /** Returns the specification of an object that the system writes, the last member of the body. */
    private static String specification(String body) {
        String key = "\"specification\":";
        return body.substring(body.indexOf(key) + key.length(), body.lastIndexOf('}'));
    }

    private record StoredObject(String name, String specification, long revision) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                    + ",\"created\":1,\"finalizers\":[],\"deletionPending\":false},\"specification\":" + specification
                    + ",\"status\":null}";
        }
    }

    private record Change(String kind, StoredObject object, boolean isDeleted, long revision, long atNanos) {}

    /** Objects, history and revision of one moment. */
    record Copy(Map<String, Map<String, StoredObject>> objects, List<Change> history, long revision) {}

    /** The desired state that the operator writes. */
    static final class DesiredState {
        private final long version;
        private final List<String> routes = new ArrayList<>();
        private final Map<String, List<String>> keysByTenant = new LinkedHashMap<>();

        DesiredState(long version) {
            this.version = version;
        }

        DesiredState route(String name, String kind, String service, int attempts, long timeoutMillis) {
            routes.add("{\"name\":\"" + name + "\",\"hostname\":\"ferry.example\",\"pathPrefix\":\"/" + name
                    + "/\",\"routeKind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis
                    + ",\"targetLatencyMs\":500,\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":"
                    + attempts + ",\"public\":false,\"sessionAffinity\":false,\"streamResumption\":true,"
                    + "\"gapAimMs\":250}");
            return this;
        }

        /** Adds a route that needs no key. */
        DesiredState publicRoute(String name, String service) {
            route(name, "idempotent", service, 2, 5000);
            routes.set(routes.size() - 1, routes.get(routes.size() - 1).replace("\"public\":false", "\"public\":true"));
            return this;
        }

        DesiredState tenant(String name, String... keys) {
            keysByTenant.put(name, List.of(keys));
            return this;
        }

        String json() {
            List<String> tenants = new ArrayList<>();
            keysByTenant.forEach((name, keys) -> tenants.add("{\"name\":\"" + name + "\",\"apiKeys\":["
                    + String.join(",", keys.stream().map(key -> "\"" + key + "\"").toList()) + "],\"priority\":1}"));
            return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                    + "],\"services\":[{\"name\":\"tankwa-app\",\"healthCheckPath\":\"/health\",\"connectionLimit\":110,"
                    + "\"protocol\":\"h1\",\"tls\":false},"
                    + "{\"name\":\"tsehay-llm\",\"healthCheckPath\":\"/health\",\"connectionLimit\":374,\"protocol\":\"h1\","
                    + "\"tls\":false,\"engine\":{\"slots\":11,\"kvCapacityTokens\":405000,\"kvBytes\":163840,\"stride\":34,"
                    + "\"step_ms\":1.31,\"per_seq_ms\":0.0013,\"context_per_k\":0.00213,\"read_per_s\":154000.0,"
                    + "\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,\"delays\":[],\"hopMs\":0.1}}],"
                    + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                    + "\"idleTimeoutMs\":15000},\"tenants\":[" + String.join(",", tenants) + "]}";
        }
    }

    /** Returns the entry under which a server registers itself. */
    static String serverEntry(String service, InetSocketAddress address, String state, long born) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address.getHostString() + ":" + address.getPort()
                + "\",\"zone\":\"bahirdar\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
                + "\",\"coldRemainingMs\":0,\"sequenceNumber\":1,\"born\":" + born + "}";
    }
}
