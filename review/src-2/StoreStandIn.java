import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store over HTTP, with watches, outages, and the return from a copy of some seconds before. */
final class StoreStandIn {
    /** Changes that are older are gone; historyS of the sheet. */
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private final HttpServer server;
    private final Map<String, Map<String, Item>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 500;
    private int era = 1;
    private long goneRevision = 500;
    private volatile int bytesPerSecond = Integer.MAX_VALUE;
    private boolean away;
    private boolean turnsAway;

    private record Item(String name, long revision, String specification) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                    + ",\"created\":9,\"finalizers\":[],\"deletionPending\":false},\"specification\":" + specification
                    + ",\"status\":null}";
        }
    }

    private record Change(long revision, long atNanos, String kind, Item item) {}

    /** What the store held at one time. */
    record Copy(Map<String, Map<String, Item>> kinds, List<Change> history, long revision) {}

    StoreStandIn() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/api/objects/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes an object as the operator or a runner does; returns whether the store took it. */
    synchronized boolean write(String kind, String name, String specification) {
        if (away) {
            return false;
        }
        put(kind, name, specification);
        return true;
    }

    /** Writes an object and goes away as soon as it has acknowledged this, before a watch is answered. */
    synchronized void writeAndGoAway(String kind, String name, String specification) {
        away = true;
        put(kind, name, specification);
    }

    private void put(String kind, String name, String specification) {
        revision++;
        Item item = new Item(name, revision, specification);
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, item);
        while (!history.isEmpty() && System.nanoTime() - history.get(0).atNanos > HISTORY_NANOS) {
            goneRevision = history.remove(0).revision;
        }
        history.add(new Change(revision, System.nanoTime(), kind, item));
        notifyAll();
    }

    /** Sets the rate of the link to the entry; each answer is sent at this rate. */
    void setBytesPerSecond(int value) {
        bytesPerSecond = value;
    }

    private void send(OutputStream output, byte[] bytes) throws IOException, InterruptedException {
        long start = System.nanoTime();
        for (int sent = 0; sent < bytes.length; ) {
            int length = Math.min(bytes.length - sent, Math.max(1, bytesPerSecond / 100));
            output.write(bytes, sent, length);
            output.flush();
            sent += length;
            long dueNanos = start + (long) (sent * 1e9 / bytesPerSecond);
            Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
        }
    }

    /** Sets whether the store turns calls over HTTP away with 503, while it serves the operator and the runners. */
    synchronized void setTurnsAway(boolean value) {
        turnsAway = value;
        notifyAll();
    }

    synchronized Copy copy() {
        Map<String, Map<String, Item>> copied = new TreeMap<>();
        kinds.forEach((kind, items) -> copied.put(kind, new TreeMap<>(items)));
        return new Copy(copied, List.copyOf(history), revision);
    }

    /** Comes back from a copy: what was written since is lost, revisions go back, and the era rises by one. */
    synchronized void returnFrom(Copy copy) {
        kinds.clear();
        copy.kinds.forEach((kind, items) -> kinds.put(kind, new TreeMap<>(items)));
        history.clear();
        history.addAll(copy.history);
        revision = copy.revision;
        era++;
        away = false;
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String[] path = exchange.getRequestURI().getPath().split("/", -1);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            Answer answer = exchange.getRequestMethod().equals("GET")
                    ? get(path, query)
                    : change(exchange.getRequestMethod(), path, new String(body, StandardCharsets.UTF_8));
            if (answer == null) {
                // The store is away: the connection ends without an answer.
                return;
            }
            byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.getResponseHeaders().add("Store-Era", Integer.toString(answer.era));
            exchange.sendResponseHeaders(answer.status, bytes.length);
            send(exchange.getResponseBody(), bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private record Answer(int status, String body, int era) {}

    private synchronized Answer get(String[] path, Map<String, String> query) throws InterruptedException {
        String kind = path[3];
        if (away) {
            return null;
        }
        if (turnsAway) {
            return new Answer(503, "{}", era);
        }
        if (path.length > 4) {
            Item item = kinds.getOrDefault(kind, Map.of()).get(path[4]);
            return item == null ? new Answer(404, "{}", era) : new Answer(200, item.json(), era);
        }
        if (!query.containsKey("watch")) {
            List<String> items = kinds.getOrDefault(kind, Map.of()).values().stream().map(Item::json).toList();
            return new Answer(
                    200, "{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"at\":" + revision + "}", era);
        }
        long after = Long.parseLong(query.get("watch"));
        int askedEra = era;
        if (after > revision || after < goneRevision) {
            return new Answer(410, "{}", era);
        }
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            if (away || turnsAway || era != askedEra) {
                return null;
            }
            List<String> events = history.stream()
                    .filter(change -> change.revision > after && change.kind.equals(kind))
                    .map(change -> "{\"deleted\":false,\"object\":" + change.item.json() + "}")
                    .toList();
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new Answer(
                        200, "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}", era);
            }
            wait(left);
        }
    }

    private synchronized Answer change(String method, String[] path, String body) {
        if (away) {
            return null;
        }
        if (turnsAway) {
            return new Answer(503, "{}", era);
        }
        String kind = path[3];
        String name = path.length > 4
                ? URLDecoder.decode(path[4], StandardCharsets.UTF_8)
                : text(raw(raw(body, "metadata"), "name"));
        boolean exists = kinds.getOrDefault(kind, Map.of()).containsKey(name);
        if (method.equals("POST") && exists) {
            return new Answer(409, kinds.get(kind).get(name).json(), era);
        }
        if (method.equals("PUT") && !exists) {
            return new Answer(404, "{}", era);
        }
        put(kind, name, raw(body, "specification"));
        return new Answer(200, kinds.get(kind).get(name).json(), era);
    }

    private static Map<String, String> query(String text) {
        Map<String, String> parameters = new HashMap<>();
        for (String part : text == null ? new String[0] : text.split("&")) {
            int equals = part.indexOf('=');
            parameters.put(
                    part.substring(0, Math.max(0, equals)),
                    URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return parameters;
    }

    private static String text(String json) {
        return json.substring(1, json.length() - 1);
    }

    /** Returns the text of a field of a JSON object, without parsing its value. */
    private static String raw(String json, String field) {
        int depth = 0;
        boolean inText = false;
        int start = -1;
        for (int i = 0; i < json.length(); i++) {
            char c = json.charAt(i);
            if (inText) {
                if (c == '\\') {
                    i++;
                } else if (c == '"') {
                    inText = false;
                }
                continue;
            }
            if (c == '"' && depth == 1 && start < 0 && json.startsWith("\"" + field + "\":", i)) {
                i += field.length() + 2;
                start = i + 1;
                continue;
            }
            if (c == '"') {
                inText = true;
            }
            boolean isEnd = depth == 1 && (c == ',' || c == '}');
            if (start >= 0 && isEnd) {
                return json.substring(start, i).trim();
            }
            depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
        }
        throw new IllegalArgumentException("no field " + field);
    }
}
