import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Streams of a sound runner whose event ids increase by more than one, on kept connections. */
final class StreamIds {
    private static final int REQUESTS = 10;
    private static final int EVENTS = 12;
    private static final int TOKENS_PER_EVENT = 34;
    private static final int EVENT_GAP_MILLIS = 45;

    /** The rule allows as many connections that are closed without an answer. */
    private static final int ALLOWED = 3;

    public static void main(String[] arguments) {
        Kit.main(arguments, StreamIds::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        StoreStandIn store = new StoreStandIn();
        int step = trouble ? TOKENS_PER_EVENT : 1;
        Kit.Work work = (request, connection) -> answer(request, connection, step);
        Kit.Runner first = new Kit.Runner("i-7f3a91c2", "app", work);
        Kit.Runner second = new Kit.Runner("i-02d9e6b4", "app", work);
        String state = Kit.desiredState(7, 10_000, "key");
        store.write(
                "config",
                "main",
                state.replace(
                        "\"routeKind\":\"streaming\"", "\"routeKind\":\"streaming\",\"streamResumption\":true")
                        .replace("\"maxAttempts\":1", "\"maxAttempts\":2"));
        first.register(store);
        second.register(store);
        Kit.Entry entry = new Kit.Entry("edge-1", store.port(), Kit.Entry.bounds());
        entry.start();
        entry.awaitReady();
        Kit.sleep(4000);
        int closed = 0;
        for (int i = 1; i <= REQUESTS; i++) {
            closed += receive(entry, first, second, i) ? 0 : 1;
        }
        Kit.Record.line("* of " + REQUESTS + " streams on kept connections, " + closed
                + " ended with a closed connection before the end of the answer");
        return closed > ALLOWED;
    }

    private static void answer(Kit.Message request, Kit.RunnerConnection connection, int step) throws IOException {
        if (!request.startLine().contains("/stream/")) {
            connection.respond(request, "done");
            return;
        }
        String resumed = request.header("Last-Event-Id");
        int after = resumed == null ? 0 : Integer.parseInt(resumed) / step;
        connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id")
                + "\r\nResponse-Signature: sig-" + request.header("Attempt-Id")
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = after + 1; number <= EVENTS; number++) {
            Kit.sleep(EVENT_GAP_MILLIS);
            String event = "id: " + number * step + "\ndata: piece " + number + "\n\n";
            connection.send(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        connection.send("0\r\n\r\n");
    }

    /** Sends a plain request and then a stream on one connection; returns whether the stream came to its end. */
    private static boolean receive(Kit.Entry entry, Kit.Runner first, Kit.Runner second, int number)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.ip, entry.callersPort), 1000);
            socket.setSoTimeout(12_000);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            send(socket, Kit.request("GET", "/again/x", "a-" + number, "key", 1000, 0));
            Kit.Message plain = Kit.read(input);
            if (plain == null || plain.status() != 200) {
                throw new Kit.NotRunnable("the first request of a connection got " + plain);
            }
            String id = "s-" + number;
            long begin = Kit.millis();
            send(socket, Kit.request("POST", "/stream/x", id, "key", 10_000, 100));
            Kit.Message stream = Kit.read(input);
            boolean isComplete = stream != null && stream.isComplete();
            long events = stream == null
                    ? 0
                    : new String(stream.body(), StandardCharsets.UTF_8).lines().filter(line -> line.startsWith("id:")).count();
            Kit.Record.line(id + ": " + (stream == null ? "no answer" : "status " + stream.status()) + ", " + events
                    + " of " + EVENTS + " events in " + (Kit.millis() - begin) + " ms, "
                    + (isComplete ? "complete" : "connection closed") + "; ran at "
                    + (first.runs.contains(id) ? first.id + " " : "") + (second.runs.contains(id) ? second.id : ""));
            return isComplete && stream.status() == 200;
        }
    }

    private static void send(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    }
}
