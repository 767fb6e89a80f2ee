import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One entry process, started in the repository's root with the command of deploy/system.toml. */
final class Entry implements AutoCloseable {
    private final int callersPort = freePort();
    private final int readyPort = freePort();
    private final Path log;
    private volatile boolean isLogRead = true;
    private final Path settings;
    private Process process;

    /**
     * Creates an entry whose settings have the bounds of a small installation.
     *
     * @param directory folder for its settings and its output
     */
    Entry(String name, Path directory, int storePort) throws IOException {
        log = directory.resolve(name + ".log");
        settings = directory.resolve(name + ".yaml");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "instance: " + name,
                        "failure-domain: zone-a",
                        "callers: 127.0.0.1:" + callersPort,
                        "ready: 127.0.0.1:" + readyPort,
                        "metrics: 127.0.0.1:" + freePort(),
                        "peers: 127.0.0.1:" + freePort(),
                        "platform: 127.0.0.1:" + storePort,
                        "region: \"region-a\"",
                        "regions: {",
                        "  \"zone-a\": \"region-a\",",
                        "  }",
                        "bounds:",
                        "  revocation: 5000ms",
                        "  configuration-apply: 2000ms",
                        "  stop-grace: 8s",
                        "  contact-window: 3000ms",
                        "  drain: 2000ms",
                        "  unused-memory: 9000ms",
                        "  retry-share: 0.2",
                        "  retry-allowance: 100",
                        ""));
    }

    /** Returns a new temporary folder, which is removed when this process ends. */
    static Path newFolder() throws IOException {
        Path folder = Files.createTempDirectory("review-");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> remove(folder)));
        return folder;
    }

    /** Removes a folder; the last lines of a log may still be written to it meanwhile. */
    private static void remove(Path folder) {
        for (int attempt = 0; attempt < 20 && Files.exists(folder); attempt++) {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
                Files.delete(folder);
            } catch (IOException e) {
                Threads.sleep(50);
            }
        }
    }

    int callersPort() {
        return callersPort;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command()).redirectErrorStream(true);
        builder.environment().put("ENDIVESHED_NODE_FILE", settings.toAbsolutePath().toString());
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        Threads.start("log of " + log.getFileName(), () -> copyLog(started.getInputStream()));
    }

    /** Copies what the process writes to its log file, as a collector of logs does. */
    private void copyLog(InputStream output) throws IOException {
        try (OutputStream file = Files.newOutputStream(log, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            byte[] buffer = new byte[8192];
            while (true) {
                while (!isLogRead) {
                    Threads.sleep(10);
                }
                int length = output.read(buffer);
                if (length < 0) {
                    return;
                }
                file.write(buffer, 0, length);
            }
        }
    }

    /** Sets whether the collector of logs reads what the process writes. */
    void setLogRead(boolean value) {
        isLogRead = value;
    }

    private static List<String> command() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = \""))
                .findFirst()
                .orElseThrow();
        return new ArrayList<>(Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
    }

    /** Waits until the entry reports ready; returns whether it does in time. */
    boolean awaitReady(long seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end && process.isAlive()) {
            if (isReady()) {
                return true;
            }
            Threads.sleep(50);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), readyPort), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"));
            Http.Head head = Http.readHead(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal, such as {@code TERM}, to this process only. */
    void signal(String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().onExit().join();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Kills the process, which can be started again. */
    void kill() {
        process.destroyForcibly().onExit().join();
    }

    @Override
    public void close() {
        if (process != null) {
            kill();
        }
    }
}
