import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Client that keeps its connection for its next request, and opens a new one after a failure. */
final class Client implements AutoCloseable {
    private static final AtomicLong NUMBERS = new AtomicLong();

    /** What a client got for one request; the status is 0 if there was no complete answer. */
    record Result(String attempt, int status, String signature, byte[] body, String error, long millis) {}

    private final int port;
    private final int timeoutMillis;
    private Socket socket;
    private BufferedInputStream in;

    Client(int port, int timeoutMillis) {
        this.port = port;
        this.timeoutMillis = timeoutMillis;
    }

    static String newAttempt() {
        return String.format("%016x", 0x5a00000000000000L + NUMBERS.incrementAndGet());
    }

    Result call(String method, String path, String fields, byte[] body) {
        return call(newAttempt(), method, path, fields, body);
    }

    Result call(String attempt, String method, String path, String fields, byte[] body) {
        long start = System.nanoTime();
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
                socket.setSoTimeout(timeoutMillis);
                in = new BufferedInputStream(socket.getInputStream());
            }
            String length = body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "";
            socket.getOutputStream()
                    .write(Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + attempt
                            + "\r\nDeadline-Ms: " + timeoutMillis + "\r\nX-Api-Key: key-1\r\n" + fields + length
                            + "\r\n"));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            Http.Head head = Http.readHead(in);
            if (head == null) {
                throw new IOException("the connection was closed without an answer");
            }
            byte[] content = Http.readResponseBody(head, in);
            if ("close".equalsIgnoreCase(head.field("Connection"))) {
                disconnect();
            }
            return new Result(attempt, head.status(), head.field("Response-Signature"), content, "", since(start));
        } catch (IOException e) {
            disconnect();
            return new Result(attempt, 0, null, new byte[0], e.getMessage(), since(start));
        }
    }

    private static long since(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Closes the connection; the next request opens a new one. */
    void disconnect() {
        if (socket != null) {
            Threads.close(socket);
            socket = null;
        }
    }

    @Override
    public void close() {
        disconnect();
    }
}
