import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/** A planned stop of an entry while clients that read slowly receive streams that their runner has completed. */
final class SlowReader {
    private static final int EVENT_BYTES = 10_000;
    private static final int[] EVENTS =
            IntStream.iterate(220, events -> events < 520, events -> events + 8).toArray();
    private static final int SLOW_BYTES_PER_SECOND = 10_000;
    private static final int SLOW_MILLIS = 4_000;
    private static final int FAST_BYTES_PER_SECOND = 2_000_000;
    private static final int STREAM_TIMEOUT_MILLIS = 15_000;

    /** A planned stop excuses nothing until 1 s after gracePeriodS, which is 8 s. */
    private static final long RULE_MILLIS = 9_000;

    private static volatile long stoppedMillis = Long.MAX_VALUE / 2;

    public static void main(String[] arguments) {
        Kit.main(arguments, SlowReader::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        StoreStandIn store = new StoreStandIn();
        Kit.Runner runner = new Kit.Runner("i-7f3a91c2", "app", SlowReader::stream);
        store.write("config", "main", Kit.desiredState(7, STREAM_TIMEOUT_MILLIS, "key"));
        runner.register(store);
        Kit.Entry entry = new Kit.Entry("edge-1", store.port(), Kit.Entry.bounds(
                "contactWindowMs", 4000, "drainTimeoutMs", 3000, "configApplyMs", 3000, "retryAllowance", 207));
        entry.start();
        entry.awaitReady();
        Kit.sleep(4000);
        CountDownLatch started = new CountDownLatch(EVENTS.length);
        CountDownLatch ended = new CountDownLatch(EVENTS.length);
        AtomicInteger cut = new AtomicInteger();
        for (int events : EVENTS) {
            Kit.thread("client-" + events, () -> {
                try {
                    if (!receive(entry, events, started)) {
                        cut.incrementAndGet();
                    }
                } catch (IOException e) {
                    cut.incrementAndGet();
                    Kit.Record.line("client of " + events + " events: " + e);
                }
                ended.countDown();
            });
        }
        started.await(5, TimeUnit.SECONDS);
        Kit.sleep(200);
        long stop = Kit.millis();
        stoppedMillis = stop;
        if (trouble) {
            entry.signal("TERM");
            Kit.thread("exit", () -> {
                try {
                    int code = entry.process.waitFor();
                    Kit.Record.line("the process has ended " + (Kit.millis() - stop) + " ms after SIGTERM, code " + code);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        if (!ended.await(20, TimeUnit.SECONDS)) {
            throw new Kit.NotRunnable("clients have not ended");
        }
        Kit.Record.line("* " + cut.get() + " of " + EVENTS.length
                + " answers that a runner had completed ended without their end");
        return cut.get() > 0;
    }

    private static void stream(Kit.Message request, Kit.RunnerConnection connection) throws IOException {
        int events = Integer.parseInt(request.startLine().split("[/ ]")[3]);
        connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id")
                + "\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n");
        for (int id = 1; id <= events; id++) {
            String event = "id: " + id + "\ndata: ";
            event += "x".repeat(EVENT_BYTES - event.length() - 2) + "\n\n";
            connection.send(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        connection.send("0\r\n\r\n");
        Kit.Record.line("the runner has written all " + events + " events");
    }

    /** Returns when a client reads on after so many bytes, in milliseconds from the start of its stream. */
    private static long timeOf(long bytes) {
        long slowBytes = (long) SLOW_BYTES_PER_SECOND * SLOW_MILLIS / 1000;
        return bytes <= slowBytes
                ? bytes * 1000 / SLOW_BYTES_PER_SECOND
                : SLOW_MILLIS + (bytes - slowBytes) * 1000 / FAST_BYTES_PER_SECOND;
    }

    /** Reads a stream slowly at first and then faster; returns whether it came to its end. */
    private static boolean receive(Kit.Entry entry, int events, CountDownLatch started) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16 * 1024);
            socket.connect(new InetSocketAddress(entry.ip, entry.callersPort), 1000);
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(Kit.request("POST", "/stream/" + events, "s-" + events, "key", STREAM_TIMEOUT_MILLIS, 10)
                            .getBytes(StandardCharsets.ISO_8859_1));
            long begin = Kit.millis();
            long[] count = new long[1];
            InputStream slow = new InputStream() {
                private final InputStream input = socket.getInputStream();

                @Override
                public int read() throws IOException {
                    throw new IOException("not used");
                }

                @Override
                public int read(byte[] bytes, int offset, int length) throws IOException {
                    Kit.sleepUntil(begin + timeOf(count[0]));
                    int read = input.read(bytes, offset, Math.min(length, timeOf(count[0]) < SLOW_MILLIS ? 1024 : 16_384));
                    count[0] += Math.max(0, read);
                    if (read > 0 && count[0] == read) {
                        started.countDown();
                    }
                    return read;
                }
            };
            Kit.Message answer = Kit.read(new BufferedInputStream(slow, 16_384));
            boolean isComplete = answer != null && answer.isComplete();
            Kit.Record.line("client of " + events + " events: status " + (answer == null ? "none" : answer.status())
                    + ", " + (answer == null ? 0 : answer.body().length) + " of " + (long) events * EVENT_BYTES
                    + " bytes in " + (Kit.millis() - begin) + " ms, " + (isComplete ? "complete" : "CUT OFF " + (Kit.millis() - stoppedMillis) + " ms after SIGTERM"));
            return isComplete || Kit.millis() - stoppedMillis > RULE_MILLIS;
        }
    }
}
