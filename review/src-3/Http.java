import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes the parts of HTTP/1.1 messages that the stand-ins need. */
final class Http {
    private Http() {}

    /** First line and header fields of a message; the last field of a name wins. */
    record Head(String firstLine, Map<String, String> fields) {
        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name);
        }

        long contentLength() {
            return fields.containsKey("Content-Length") ? Long.parseLong(fields.get("Content-Length").trim()) : -1;
        }

        boolean isChunked() {
            return "chunked".equalsIgnoreCase(fields.getOrDefault("Transfer-Encoding", ""));
        }
    }

    /** Reads a head; returns null if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the message ends within its head");
            }
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new IOException("no header field: " + line);
            }
            fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return new Head(first, fields);
    }

    /** Reads the body of a request, which has a length or is chunked. */
    static byte[] readRequestBody(Head head, InputStream in) throws IOException {
        if (head.isChunked()) {
            return readChunks(in);
        }
        return readExactly(in, (int) Math.max(0, head.contentLength()));
    }

    /** Reads the body of a response; throws if it ends early. */
    static byte[] readResponseBody(Head head, InputStream in) throws IOException {
        if (head.isChunked()) {
            return readChunks(in);
        }
        return head.contentLength() >= 0 ? readExactly(in, (int) head.contentLength()) : in.readAllBytes();
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("the body ended before its last chunk");
            }
            int length = Integer.parseInt(size.trim(), 16);
            body.write(readExactly(in, length));
            String end = readLine(in);
            if (end == null || !end.isEmpty()) {
                throw new IOException("malformed chunk");
            }
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        if (line.size() > 0) {
            throw new EOFException("the message ends within a line");
        }
        return null;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
