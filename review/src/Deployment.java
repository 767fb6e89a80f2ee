import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts entries with the command and the settings template of the deploy file, each on a loopback address of its own. */
final class Deployment implements AutoCloseable {
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern FIELD = Pattern.compile("\\{\\{([^}]+)}}");

    private final Record record;
    private final Path folder;
    private final String store;
    private final List<Entry> entries = new CopyOnWriteArrayList<>();

    Deployment(Record record, String store) throws IOException {
        this.record = record;
        this.store = store;
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Chooses the addresses of an entry; it is not started yet. */
    Entry entry(String name, String zone) throws IOException {
        String ip = freeAddress();
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("nodeName", name);
        fields.put("zone", zone);
        fields.put("ipAddress", ip);
        fields.put("listenAddresses.frontend", ip + ":" + freePort(ip));
        fields.put("listenAddresses.ready", ip + ":" + freePort(ip));
        fields.put("internalPortRange.0", Integer.toString(freePort(ip)));
        fields.put("platform.address", store);
        // The bounds of the sheet of sites/abay-ferry.toml.
        fields.put("bounds.revocationMs", "5000");
        fields.put("bounds.configApplyMs", "2000");
        fields.put("bounds.gracePeriodS", "8");
        fields.put("bounds.contactWindowMs", "3000");
        fields.put("bounds.drainTimeoutMs", "2000");
        fields.put("bounds.maxIdleMs", "9000");
        fields.put("bounds.retryBudgetRatio", "0.2");
        fields.put("bounds.retryAllowance", "106");
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, fill(Files.readString(Path.of(deployValue("template"))), fields));
        Entry entry = new Entry(name, fields, settings);
        entries.add(entry);
        return entry;
    }

    @Override
    public void close() throws IOException {
        killAll();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private void killAll() {
        entries.forEach(Entry::kill);
    }

    private static String fill(String template, Map<String, String> fields) {
        String text = SECTION.matcher(template)
                .replaceAll(section -> Matcher.quoteReplacement(
                        fields.containsKey(section.group(1)) ? section.group(2) : ""));
        return FIELD.matcher(text)
                .replaceAll(field -> Matcher.quoteReplacement(fields.getOrDefault(field.group(1), "")));
    }

    private static String deployValue(String key) throws IOException {
        Matcher line = Pattern.compile("^" + key + " = \"(.*)\"$", Pattern.MULTILINE)
                .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!line.find()) {
            throw new IOException("deploy/system.toml has no " + key);
        }
        return line.group(1);
    }

    /** Returns a loopback address on which the port of the metrics, which the template fixes, is free. */
    private static String freeAddress() throws IOException {
        for (int i = 0; i < 50; i++) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String ip = "127." + random.nextInt(1, 250) + "." + random.nextInt(1, 250) + "." + random.nextInt(2, 250);
            try {
                new ServerSocket(9464, 1, InetAddress.getByName(ip)).close();
                return ip;
            } catch (IOException e) {
                // Another address may be free.
            }
        }
        throw new IOException("no loopback address with a free port 9464");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return probe.getLocalPort();
        }
    }

    /** One entry process. */
    final class Entry {
        final String name;
        final String ip;
        final int port;
        final int readyPort;
        private final Path settings;
        private Process process;
        private Path output;

        private Entry(String name, Map<String, String> fields, Path settings) {
            this.name = name;
            this.settings = settings;
            this.ip = fields.get("ipAddress");
            this.port = port(fields.get("listenAddresses.frontend"));
            this.readyPort = port(fields.get("listenAddresses.ready"));
        }

        private static int port(String address) {
            return Integer.parseInt(address.substring(address.indexOf(':') + 1));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(deployValue("run").split(" "));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("ENDIVESHED_NODE_FILE", settings.toString());
            output = folder.resolve(name + "-" + System.nanoTime() + ".log");
            builder.redirectErrorStream(true).redirectOutput(output.toFile());
            process = builder.start();
            record.line(name + " started, process " + process.pid());
        }

        /** Waits until the entry reports that it is ready. */
        void awaitReady() throws Exception {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (System.nanoTime() < end) {
                if (isReady()) {
                    record.line(name + " is ready");
                    return;
                }
                Thread.sleep(50);
            }
            throw new NotRunnable(name + " was not ready within 30 s");
        }

        boolean isReady() {
            try (Client client = new Client(ip, readyPort, 1000)) {
                client.send("GET", "/api/readiness", Map.of("Host", "ready"), new byte[0]);
                return client.readAnswer().status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Returns the exit code, or an empty text if the process still runs. */
        String exitCode() {
            return process.isAlive() ? "" : Integer.toString(process.exitValue());
        }

        void signal(String signal) throws Exception {
            record.line("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean awaitExit(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly().onExit().join();
            }
        }

        /** Returns the lines of the process's log that contain the text. */
        List<String> log(String text) throws IOException {
            return Files.readAllLines(output).stream().filter(line -> line.contains(text)).toList();
        }
    }
}
