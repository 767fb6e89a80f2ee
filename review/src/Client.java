import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One connection of a client. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;

    Client(String ip, int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String method, String path, Map<String, String> fields, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    /** Reads a whole answer; an answer that ends early has an error and what arrived of its body. */
    Answer readAnswer() throws IOException {
        Answer answer = new Answer();
        Http.Head head = Http.readHead(in);
        if (head == null) {
            answer.error = "closed without an answer";
            return answer;
        }
        answer.status = Integer.parseInt(head.first().split(" ")[1]);
        answer.fields = head.fields();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (head.isChunked()) {
                Http.readChunks(in, body);
            } else {
                long left = head.contentLength();
                byte[] buffer = new byte[16 * 1024];
                while (left > 0) {
                    int length = in.read(buffer, 0, (int) Math.min(buffer.length, left));
                    if (length < 0) {
                        throw new IOException("the connection ended " + left + " bytes before the end");
                    }
                    body.write(buffer, 0, length);
                    left -= length;
                }
            }
        } catch (IOException e) {
            answer.error = e.getMessage();
        }
        answer.body = body.toByteArray();
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** An answer as its client sees it. */
    static final class Answer {
        int status;
        Map<String, String> fields = Map.of();
        byte[] body = {};
        /** Why the answer is not complete; null if it is. */
        String error;

        boolean isComplete() {
            return error == null;
        }

        String signature() {
            return fields.get("Response-Signature");
        }

        @Override
        public String toString() {
            return "status " + status + ", signature " + signature() + ", " + body.length + " bytes, "
                    + (isComplete() ? "complete" : "incomplete: " + error);
        }
    }
}
