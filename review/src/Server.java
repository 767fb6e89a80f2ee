import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A runner of a service. The handler decides how it answers; all else is as the pages say. */
final class Server implements AutoCloseable {
    final String id;
    private final Record record;
    private final ServerSocket server;
    private final Handler handler;

    /** Answers one request whose head has been read; the body is still to be read. Returns whether to go on reading. */
    interface Handler {
        boolean handle(Exchange exchange) throws Exception;
    }

    Server(Record record, String id, int receiveBufferBytes, Handler handler) throws IOException {
        this.record = record;
        this.id = id;
        this.handler = handler;
        server = new ServerSocket();
        if (receiveBufferBytes > 0) {
            server.setReceiveBufferSize(receiveBufferBytes);
        }
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        Threads.start(id, this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.start(id + " connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1024);
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                Exchange exchange = new Exchange(socket, in, head);
                String expected = head.fields().get("Expected-Runner");
                if (expected != null && !expected.equals(id)) {
                    exchange.readBody();
                    exchange.answer("421 Misdirected Request", Map.of("Runner-Id", id), new byte[0]);
                } else if (!handler.handle(exchange)) {
                    return;
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** One request. */
    final class Exchange {
        final Socket socket;
        final InputStream in;
        final Http.Head head;

        private Exchange(Socket socket, InputStream in, Http.Head head) {
            this.socket = socket;
            this.in = in;
            this.head = head;
        }

        String attempt() {
            return head.fields().get("Attempt-Id");
        }

        byte[] readBody() throws IOException {
            return in.readNBytes((int) head.contentLength());
        }

        void ran(String what) {
            record.line(id + " runs " + attempt() + ": " + what);
        }

        void answer(String status, Map<String, String> fields, byte[] body) throws IOException {
            write(head(status, fields, "Content-Length: " + body.length));
            write(body);
        }

        String head(String status, Map<String, String> fields, String framing) {
            StringBuilder text = new StringBuilder("HTTP/1.1 " + status + "\r\nAttempt-Id: " + attempt() + "\r\n");
            fields.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
            return text + framing + "\r\n\r\n";
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }
    }
}
