import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: record, free ports, the entry as a process, runners and raw HTTP. Needs only the JDK. */
final class Kit {
    static final long START_NANOS = System.nanoTime();

    private Kit() {}

    /** Thrown when a case cannot run; the script then ends with 2. */
    static final class NotRunnable extends RuntimeException {
        private static final long serialVersionUID = 1L;

        NotRunnable(String message) {
            super(message);
        }
    }

    /** Part of a case that returns whether the rule was broken. */
    interface Body {
        boolean run(boolean trouble) throws Exception;
    }

    /** Runs a case and ends the process with 0, 1 or 2; all entries that it started are ended first. */
    static void main(String[] arguments, Body body) {
        int code = 2;
        try {
            Record.open(Path.of(arguments[0], "record.txt"));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Record.line("run with the disruption: " + trouble);
            boolean broken = body.run(trouble);
            Record.line(broken ? "RULE BROKEN" : "rule held");
            code = broken ? 1 : 0;
        } catch (NotRunnable e) {
            Record.line("case could not run: " + e.getMessage());
        } catch (Exception e) {
            Record.line("case could not run: " + e);
            e.printStackTrace();
        } finally {
            Entry.endAll();
            Record.close();
        }
        System.exit(code);
    }

    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(long atMillis) {
        sleep(atMillis - millis());
    }

    static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(address), 0));
            return socket.getLocalPort();
        }
    }

    /** Lines with milliseconds since the start, written to record.txt and, shortened to the end, to the console. */
    static final class Record {
        private static PrintStream out;

        static void open(Path file) throws IOException {
            out = new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8);
        }

        static synchronized void line(String text) {
            String line = String.format(Locale.ROOT, "%7d ms  %s", millis(), text);
            if (out != null) {
                out.println(line);
            }
            if (text.startsWith("RULE") || text.startsWith("rule") || text.startsWith("case") || text.startsWith("*")) {
                System.out.println(line);
            }
        }

        static synchronized void close() {
            if (out != null) {
                out.close();
                out = null;
            }
        }
    }

    /** The program of the deploy file as a process on a loopback address of its own. */
    static final class Entry {
        private static final List<Entry> STARTED = Collections.synchronizedList(new ArrayList<>());
        private static final int METRICS_PORT = 9464;
        private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$");

        final String name;
        final String ip;
        final int callersPort;
        final int readyPort;
        private final Path folder;
        private final Path settings;
        volatile Process process;

        Entry(String name, int storePort, Map<String, Object> bounds) throws IOException {
            this.name = name;
            this.ip = freeAddress();
            this.callersPort = freePort(ip);
            this.readyPort = freePort(ip);
            int peers = freePort(ip);
            folder = Files.createTempDirectory("review-" + name);
            settings = folder.resolve("boot.yaml");
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("nodeName", name);
            fields.put("ipAddress", ip);
            fields.put("zone", "zone-a");
            fields.put("region", "area");
            fields.put("zones", Map.of("zone-a", "area"));
            fields.put("internalPortRange", List.of(peers, peers + 15));
            fields.put("listenAddresses", Map.of("frontend", ip + ":" + callersPort, "ready", ip + ":" + readyPort));
            fields.put("platform", Map.of("address", "127.0.0.1:" + storePort));
            fields.put("bounds", bounds);
            Files.writeString(settings, Template.fill(Files.readString(Path.of("deploy/entry.yaml")), fields));
        }

        /** Returns a loopback address on which the port of the metrics is free, which deploy/entry.yaml fixes. */
        private static String freeAddress() {
            for (int i = 0; i < 100; i++) {
                int number = ThreadLocalRandom.current().nextInt(1 << 16);
                String address = "127.77." + (number >> 8) + "." + (1 + number % 250);
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getByName(address), METRICS_PORT));
                    return address;
                } catch (IOException e) {
                    // In use, so another address is tried.
                }
            }
            throw new NotRunnable("no loopback address has a free port " + METRICS_PORT);
        }

        /** Bounds of the sheet of abay-ferry, with those that a case changes. */
        static Map<String, Object> bounds(Object... changes) {
            Map<String, Object> bounds = new LinkedHashMap<>();
            bounds.put("contactWindowMs", 3000);
            bounds.put("drainTimeoutMs", 2000);
            bounds.put("gracePeriodS", 8);
            bounds.put("configApplyMs", 2000);
            bounds.put("revocationMs", 5000);
            bounds.put("retryBudgetRatio", 0.2);
            bounds.put("retryAllowance", 106);
            bounds.put("maxIdleMs", 9000);
            for (int i = 0; i < changes.length; i += 2) {
                bounds.put((String) changes[i], changes[i + 1]);
            }
            return bounds;
        }

        void start() throws IOException {
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .map(RUN::matcher)
                    .filter(Matcher::matches)
                    .map(match -> match.group(1))
                    .findFirst()
                    .orElseThrow(() -> new NotRunnable("deploy/system.toml has no run command"));
            ProcessBuilder builder = new ProcessBuilder(run.split(" ")).redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("output.txt").toFile()));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("ENDIVESHED_NODE_FILE", settings.toString());
            process = builder.start();
            STARTED.add(this);
            Record.line("process " + name + " started, pid " + process.pid());
        }

        /** Sends a signal to this process only. */
        void signal(String signal) throws IOException, InterruptedException {
            Record.line("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, readyPort), 300);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.ISO_8859_1));
                String answer = new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
                return answer.endsWith("200");
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() {
            long end = millis() + 20_000;
            while (!isReady()) {
                if (millis() > end || !process.isAlive()) {
                    throw new NotRunnable(name + " is not ready: " + output());
                }
                sleep(50);
            }
            Record.line(name + " is ready");
        }

        String output() {
            try {
                return Files.readString(folder.resolve("output.txt"));
            } catch (IOException e) {
                return e.toString();
            }
        }

        /** Returns a field of /proc/PID/status in kB, such as VmHWM. */
        long statusKb(String field) {
            try {
                return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                        .filter(line -> line.startsWith(field + ":"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                        .findFirst()
                        .orElse(-1);
            } catch (IOException e) {
                return -1;
            }
        }

        static void endAll() {
            for (Entry entry : List.copyOf(STARTED)) {
                Process process = entry.process;
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                if (System.getenv("KEEP_LOG") != null) {
                    System.out.println(entry.name + ":\n" + entry.output());
                }
                try {
                    Files.deleteIfExists(entry.settings);
                    Files.deleteIfExists(entry.folder.resolve("output.txt"));
                    Files.deleteIfExists(entry.folder);
                } catch (IOException e) {
                    System.err.println("cannot remove " + entry.folder + ": " + e);
                }
            }
        }
    }

    /** Fills a template of the deploy file, as far as deploy/entry.yaml uses the form. */
    static final class Template {
        private static final Pattern SECTION = Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
        private static final Pattern VALUE = Pattern.compile("\\{\\{([^}#/^]+)}}");

        static String fill(String text, Map<String, Object> fields) {
            Matcher sections = SECTION.matcher(text);
            StringBuilder filled = new StringBuilder();
            while (sections.find()) {
                Object value = lookup(fields, sections.group(1));
                StringBuilder body = new StringBuilder();
                if (value instanceof Map<?, ?> table) {
                    table.forEach((key, entry) -> body.append(sections.group(2)
                            .replace("{{@}}", key.toString())
                            .replace("{{.}}", entry.toString())));
                } else if (value != null) {
                    body.append(sections.group(2));
                }
                sections.appendReplacement(filled, Matcher.quoteReplacement(body.toString()));
            }
            sections.appendTail(filled);
            Matcher values = VALUE.matcher(filled.toString());
            StringBuilder result = new StringBuilder();
            while (values.find()) {
                Object value = lookup(fields, values.group(1).trim());
                values.appendReplacement(result, Matcher.quoteReplacement(value == null ? "" : value.toString()));
            }
            values.appendTail(result);
            return result.toString();
        }

        private static Object lookup(Object from, String path) {
            Object value = from;
            for (String part : path.split("\\.")) {
                if (value instanceof Map<?, ?> map) {
                    value = map.get(part);
                } else if (value instanceof List<?> list) {
                    value = list.get(Integer.parseInt(part));
                } else {
                    return null;
                }
            }
            return value;
        }
    }

    /** A message as it was read; names of header fields are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body, boolean isComplete) {
        int status() {
            return startLine.startsWith("HTTP/1.1 ") ? Integer.parseInt(startLine.substring(9, 12)) : -1;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Reads a line as ISO-8859-1, so that each character is one byte; null at the end of input. */
    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int value = input.read(); value >= 0; value = input.read()) {
            if (value == '\n') {
                String line = bytes.toString(StandardCharsets.ISO_8859_1);
                return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            }
            bytes.write(value);
        }
        return null;
    }

    /** Reads a request or response; null at the end of input, and not complete if input ends within it. */
    static Message read(InputStream input) throws IOException {
        String start = readLine(input);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        String line = readLine(input);
        for (; line != null && !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (line == null) {
            return new Message(start, headers, new byte[0], false);
        }
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(input);
                if (size == null) {
                    return new Message(start, headers, body.toByteArray(), false);
                }
                int length = Integer.parseInt(size.trim(), 16);
                byte[] chunk = input.readNBytes(length);
                body.write(chunk);
                if (chunk.length < length || readLine(input) == null) {
                    return new Message(start, headers, body.toByteArray(), false);
                }
                if (length == 0) {
                    return new Message(start, headers, body.toByteArray(), true);
                }
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        return new Message(start, headers, body, body.length == length);
    }

    /** Answers of a runner to client requests. */
    interface Work {
        void answer(Message request, RunnerConnection connection) throws IOException;
    }

    /** Connection on which a runner answers. */
    record RunnerConnection(Socket socket, OutputStream output) {
        void send(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        void respond(Message request, String body) throws IOException {
            send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\nResponse-Signature: sig-"
                    + request.header("Attempt-Id") + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    /** Runner of a service on a loopback socket, which beats in the store as the pages say. */
    static final class Runner {
        final String id;
        final String service;
        final ServerSocket server;
        final Set<String> runs = ConcurrentHashMap.newKeySet();
        private final long born = System.currentTimeMillis();
        private final Work work;
        private long sequence;

        Runner(String id, String service, Work work) throws IOException {
            this.id = id;
            this.service = service;
            this.work = work;
            server = new ServerSocket();
            server.bind(new InetSocketAddress("127.0.0.1", 0), 1000);
            thread("runner-" + id, this::accept);
        }

        void register(StoreStandIn store) {
            beat(store);
            thread("beat-" + id, () -> {
                while (true) {
                    sleep(1200);
                    beat(store);
                }
            });
        }

        void beat(StoreStandIn store) {
            sequence++;
            store.write(
                    "servers",
                    id,
                    "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":50,\"state\":\"ready\","
                            + "\"coldRemainingMs\":0,\"sequenceNumber\":" + sequence + ",\"born\":" + born + "}");
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    thread("connection-" + id, () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream input = new BufferedInputStream(socket.getInputStream());
                OutputStream output = socket.getOutputStream();
                for (Message request = read(input);
                        request != null && request.isComplete();
                        request = read(input)) {
                    RunnerConnection connection = new RunnerConnection(socket, output);
                    String expected = request.header("Expected-Runner");
                    if (request.header("Attempt-Id") == null) {
                        connection.send("HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    } else if (expected != null && !expected.equals(id)) {
                        connection.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "
                                + request.header("Attempt-Id") + "\r\nRunner-Id: " + id
                                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    } else {
                        runs.add(request.header("Attempt-Id"));
                        work.answer(request, connection);
                    }
                }
            } catch (IOException e) {
                // The caller has closed the connection.
            }
        }
    }

    /** Sends one request on a new connection and returns the answer; null if the connection ends without one. */
    static Message call(Entry entry, String request, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, entry.callersPort), 1000);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    static String request(String method, String path, String id, String key, int deadlineMillis, int bodyLength) {
        return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMillis + "\r\nX-Api-Key: " + key + "\r\n"
                + (bodyLength > 0 || !method.equals("GET") ? "Content-Length: " + bodyLength + "\r\n" : "") + "\r\n"
                + "b".repeat(bodyLength);
    }

    /** Desired state with one plain service, a route of each kind to it, and two tenants with a key each. */
    static String desiredState(long version, int timeoutMillis, String... keys) {
        StringBuilder tenants = new StringBuilder();
        for (int i = 0; i < keys.length; i++) {
            tenants.append(i > 0 ? "," : "")
                    .append("{\"name\":\"tenant-" + i + "\",\"apiKeys\":["
                            + (keys[i].isEmpty() ? "" : "\"" + keys[i] + "\"") + "],\"priority\":1}");
        }
        return "{\"version\":" + version + ",\"routes\":[" + route("once", "non_idempotent", timeoutMillis, 1) + ","
                + route("again", "idempotent", timeoutMillis, 2) + "," + route("stream", "streaming", timeoutMillis, 1)
                + "],\"services\":[{\"name\":\"app\",\"healthCheckPath\":\"/health\",\"connectionLimit\":400,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[" + tenants + "]}";
    }

    private static String route(String name, String kind, int timeoutMillis, int attempts) {
        return "{\"name\":\"r-" + name + "\",\"hostname\":\"ficu95.example\",\"pathPrefix\":\"/" + name
                + "/\",\"routeKind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis
                + ",\"targetLatencyMs\":500,\"priority\":1,\"service\":\"app\",\"maxAttempts\":" + attempts
                + ",\"public\":false,\"gapAimMs\":1000}";
    }
}
