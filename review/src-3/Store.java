import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of the platform's store: lists, watches, POST, PUT and DELETE on the objects of kinds, with one revision
 * counter. Specifications are kept as the text in which they were written.
 */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1024 * 1024;
    private static final Pattern SPECIFICATION = Pattern.compile("\"specification\":(.*)}\\s*$", Pattern.DOTALL);
    private static final Pattern NAME = Pattern.compile("\"name\":\"([^\"]+)\"");

    /** Time for which changes are kept, historyS of the settings. */
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private record Change(long revision, String kind, String object, boolean deleted, long atNanos) {}

    private final ServerSocket socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final Map<String, TreeMap<String, String>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Socket, Boolean> connections = new ConcurrentHashMap<>();
    private long revision = 100;
    private long droppedRevision;
    private volatile boolean isSilent;

    Store() throws IOException {
        Threads.start("store", this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Makes the store unreachable: open connections and new ones get no answers. */
    void setSilent(boolean value) {
        isSilent = value;
        if (!value) {
            connections.keySet().forEach(Threads::close);
        }
    }

    /** Writes an object as the operator or a server does; returns when the write is acknowledged. */
    synchronized void put(String kind, String name, String specification) {
        revision++;
        String object = "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + ",\"created\":1,\"finalizers\":[],\"deletionPending\":false},\"specification\":" + specification
                + ",\"status\":null}";
        objects(kind).put(name, object);
        add(new Change(revision, kind, object, false, System.nanoTime()));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        String object = objects(kind).remove(name);
        if (object != null) {
            revision++;
            add(new Change(revision, kind, object, true, System.nanoTime()));
            notifyAll();
        }
    }

    private void add(Change change) {
        history.add(change);
        while (change.atNanos - history.get(0).atNanos > HISTORY_NANOS) {
            droppedRevision = history.remove(0).revision;
        }
    }

    private TreeMap<String, String> objects(String kind) {
        return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            connections.put(connection, true);
            Threads.start("store call", () -> {
                try (connection) {
                    serve(connection);
                } finally {
                    connections.remove(connection);
                }
            });
        }
    }

    private void serve(Socket connection) throws IOException {
        BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
            byte[] body = Http.readRequestBody(head, in);
            String answer = answer(head, new String(body, java.nio.charset.StandardCharsets.UTF_8));
            while (isSilent) {
                Threads.sleep(20);
            }
            int status = Integer.parseInt(answer.substring(0, 3));
            byte[] content = answer.substring(3).getBytes(java.nio.charset.StandardCharsets.UTF_8);
            out.write(Http.bytes("HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    + "Content-Length: " + content.length + "\r\n\r\n"));
            out.write(content);
            out.flush();
        }
    }

    /** Returns the status and the body. */
    private String answer(Http.Head head, String body) {
        String[] target = head.target().split("\\?", 2);
        String[] path = target[0].split("/");
        Map<String, String> query = new LinkedHashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length > 1 ? parts[1] : "");
            }
        }
        String kind = path[3];
        String name = path.length > 4 ? path[4] : null;
        return switch (head.method()) {
            case "GET" -> name != null ? get(kind, name)
                    : query.containsKey("watch")
                            ? watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("waitMs")))
                            : list(kind, query.getOrDefault("after", ""));
            case "POST" -> write(kind, firstMatch(NAME, body), body, false);
            case "PUT" -> write(kind, name, body, true);
            case "DELETE" -> {
                remove(kind, name);
                yield "200{}";
            }
            default -> "400{}";
        };
    }

    private synchronized String get(String kind, String name) {
        String object = objects(kind).get(name);
        return object == null ? "404{}" : "200" + object;
    }

    private synchronized String list(String kind, String after) {
        List<String> items = new ArrayList<>();
        int bytes = 0;
        for (String object : objects(kind).tailMap(after, false).values()) {
            if (!items.isEmpty() && (items.size() == PAGE_ITEMS || bytes + object.length() > PAGE_BYTES)) {
                break;
            }
            items.add(object);
            bytes += object.length();
        }
        boolean hasMore = objects(kind).tailMap(after, false).size() > items.size();
        return "200{\"items\":[" + String.join(",", items) + "],\"hasMore\":" + hasMore + ",\"at\":" + revision + "}";
    }

    private synchronized String watch(String kind, long since, long waitMillis) {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            if (since < droppedRevision) {
                return "410{}";
            }
            List<String> events = history.stream()
                    .filter(change -> change.revision > since && change.kind.equals(kind))
                    .map(change -> "{\"deleted\":" + change.deleted + ",\"object\":" + change.object + "}")
                    .toList();
            long remaining = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || remaining <= 0) {
                return "200{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}";
            }
            try {
                wait(remaining);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private synchronized String write(String kind, String name, String body, boolean replaces) {
        String current = objects(kind).get(name);
        if ((current == null) == replaces) {
            return replaces ? "404{}" : "409" + current;
        }
        put(kind, name, firstMatch(SPECIFICATION, body));
        return "200" + objects(kind).get(name);
    }

    private static String firstMatch(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.find()) {
            throw new IllegalArgumentException("no " + pattern + " in " + text);
        }
        return matcher.group(1);
    }

    @Override
    public void close() {
        Threads.close(socket);
        connections.keySet().forEach(Threads::close);
    }
}
