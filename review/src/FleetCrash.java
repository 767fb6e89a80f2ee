import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The machines with model runners are all killed at once while they stream, and are back some seconds later. */
final class FleetCrash implements Case.Script {
    private static final int ENTRIES = 3;
    private static final int RUNNERS = 8;
    private static final int STREAMS = 64;
    private static final int REQUESTS = 40;
    private static final long DOWN_MILLIS = 3000;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long LATER_MILLIS = 30_000;

    @Override
    public boolean run(Record record, boolean hasTrouble) throws Exception {
        List<Runner> runners = new ArrayList<>();
        for (int i = 1; i <= RUNNERS; i++) {
            runners.add(new Runner(record, "i-model-" + i));
        }
        try (Store store = new Store(record);
                Server booking = new Server(record, "i-booking-1", 0, exchange -> {
                    exchange.readBody();
                    exchange.answer("200 OK", Map.of("Response-Signature", "sig"), new byte[800]);
                    return true;
                });
                Deployment deployment = new Deployment(record, store.address())) {
            store.put("config", "main", firstRoutes(1).json());
            store.put("servers", booking.id, Store.serverEntry("tankwa-app", booking.address(), "ready", 1));
            for (Runner runner : runners) {
                runner.start();
                store.put("servers", runner.id, runner.entry());
            }
            List<Deployment.Entry> entries = new ArrayList<>();
            for (int i = 1; i <= ENTRIES; i++) {
                entries.add(deployment.entry("edge-bahirdar-" + i, "bahirdar"));
            }
            for (Deployment.Entry entry : entries) {
                entry.start();
            }
            for (Deployment.Entry entry : entries) {
                entry.awaitReady();
            }
            store.put(
                    "config",
                    "main",
                    firstRoutes(2).route("redraft", "streaming", "tsehay-llm", 2, 10_000).json());
            record.line("version 2 adds the route redraft");
            Thread.sleep(3000);
            int servedBefore = redrafts(record, entries, "before", STREAMS, () -> {});
            if (servedBefore < STREAMS / 2) {
                throw new NotRunnable("the added route was not served before");
            }
            redrafts(record, entries, "during", STREAMS, () -> {
                Thread.sleep(700);
                record.line("streams on the runners: "
                        + runners.stream().map(runner -> runner.connections.size()).toList());
                if (hasTrouble) {
                    for (Runner runner : runners) {
                        runner.stop();
                    }
                    record.line("all " + RUNNERS + " machines with model runners are killed");
                }
            });
            Thread.sleep(DOWN_MILLIS);
            if (hasTrouble) {
                for (Runner runner : runners) {
                    runner.start();
                    store.put("servers", runner.id, runner.entry());
                }
                record.line("all model runners are back and registered");
            }
            Thread.sleep(RECOVERY_MILLIS);
            boolean isBroken = isAddedRouteNeglected(record, entries, "after");
            Thread.sleep(LATER_MILLIS);
            isBroken &= isAddedRouteNeglected(record, entries, "later");
            for (Deployment.Entry entry : entries) {
                for (String line : entry.log("request.blocked")) {
                    record.line(entry.name + ": " + line);
                }
            }
            return isBroken;
        }
    }

    private static Store.DesiredState firstRoutes(long version) {
        return new Store.DesiredState(version)
                .route("look", "idempotent", "tankwa-app", 2, 5000)
                .tenant("coop", "key-1");
    }

    /** Returns whether the route that was added is served less than a quarter as often as the first one. */
    private static boolean isAddedRouteNeglected(Record record, List<Deployment.Entry> entries, String name) throws Exception {
        int added = redrafts(record, entries, name, REQUESTS, () -> {});
        int first = 0;
        for (int i = 1; i <= REQUESTS; i++) {
            first += look(record, entries.get(i % entries.size()), name + "-look-" + i) ? 1 : 0;
        }
        record.line(name + ": the first route served " + first + " of " + REQUESTS + ", the added one " + added + " of "
                + REQUESTS);
        if (first < REQUESTS / 2) {
            throw new NotRunnable("the first route was not served");
        }
        return added * 4 < first;
    }

    private static boolean look(Record record, Deployment.Entry entry, String attempt) throws IOException {
        try (Client client = new Client(entry.ip, entry.port, 2000)) {
            record.line(attempt + " is sent to " + entry.name);
            client.send("GET", "/look/" + attempt, fields(attempt), new byte[0]);
            Client.Answer answer = client.readAnswer();
            record.line(attempt + " gets " + answer);
            return answer.isComplete() && answer.status == 200;
        }
    }

    private static Map<String, String> fields(String attempt) {
        Map<String, String> fields = new TreeMap<>();
        fields.put("Host", "ferry.example");
        fields.put("Attempt-Id", attempt);
        fields.put("Deadline-Ms", "10000");
        fields.put("X-Api-Key", "key-1");
        return fields;
    }

    /** Sends requests with the 40 shared tokens of the sheet and a part of their own; returns how many are served. */
    private static int redrafts(Record record, List<Deployment.Entry> entries, String name, int count, Threads.Task meanwhile)
            throws Exception {
        AtomicInteger served = new AtomicInteger();
        Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            String attempt = name + "-redraft-" + i;
            Deployment.Entry entry = entries.get(i % entries.size());
            threads.add(Threads.start(attempt, () -> {
                String result;
                try (Client client = new Client(entry.ip, entry.port, 12_000)) {
                    Map<String, String> fields = fields(attempt);
                    fields.put("Model", "m");
                    fields.put("Token-Counts", "5000,1300");
                    fields.put("Prompt-Prefix", "5c1e07a2:40," + Integer.toHexString(attempt.hashCode()) + ":4960");
                    record.line(attempt + " is sent to " + entry.name);
                    client.send("POST", "/redraft/" + attempt, fields, new byte[1200]);
                    Client.Answer answer = client.readAnswer();
                    record.line(attempt + " gets " + answer);
                    served.addAndGet(answer.isComplete() && answer.status == 200 ? 1 : 0);
                    result = answer.status + (answer.isComplete() ? "" : " cut")
                            + (answer.status == 503 ? " " + message(answer) : "");
                } catch (IOException e) {
                    result = e.getMessage();
                }
                results.computeIfAbsent(result, key -> new AtomicInteger()).incrementAndGet();
            }));
            Thread.sleep(5);
        }
        meanwhile.run();
        for (Thread thread : threads) {
            thread.join();
        }
        record.line(name + ": answers to " + count + " requests on the added route: " + results);
        return served.get();
    }

    private static String message(Client.Answer answer) {
        return new String(answer.body, StandardCharsets.UTF_8).replaceAll(".*\"message\":\"([^\"]*)\".*", "\"$1\"");
    }

    /** A model runner whose streams take 1.6 s. It may stop, which resets its connections, and start again. */
    private static final class Runner {
        private static final int EVENTS = 20;
        private static final long EVENT_MILLIS = 80;

        private final Record record;
        private final String id;
        private final int port;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private ServerSocket server;
        private long born = 1;

        private Runner(Record record, String id) throws IOException {
            this.record = record;
            this.id = id;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
        }

        private String entry() {
            return Store.serverEntry("tsehay-llm", new InetSocketAddress("127.0.0.1", port), "ready", born)
                    .replace("\"slots\":6", "\"slots\":11");
        }

        private void start() throws IOException {
            born++;
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress("127.0.0.1", port), 256);
            ServerSocket current = server;
            Threads.start(id, () -> {
                while (!current.isClosed()) {
                    Socket socket = current.accept();
                    socket.setTcpNoDelay(true);
                    Threads.start(id + " connection", () -> serve(socket));
                }
            });
        }

        private void stop() throws IOException {
            server.close();
            for (Socket socket : connections) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }

        private void serve(Socket socket) throws Exception {
            connections.add(socket);
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                    in.readNBytes((int) head.contentLength());
                    String attempt = head.fields().get("Attempt-Id");
                    write(socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: sig-" + attempt
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                    record.line(id + " runs " + attempt);
                    int last = Integer.parseInt(head.fields().getOrDefault("Last-Event-Id", "0"));
                    for (int i = last + 1; i <= EVENTS; i++) {
                        Thread.sleep(EVENT_MILLIS);
                        String event = "id: " + i + "\ndata: x\n\n";
                        write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                    }
                    write(socket, "0\r\n\r\n");
                }
            } finally {
                connections.remove(socket);
            }
        }

        private static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }
    }
}
