import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages. */
final class Http {
    private Http() {}

    /** Reads a start line and the header fields; null if the connection ends before the first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return new Head(first, fields);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Start line and header fields. */
    record Head(String first, Map<String, String> fields) {
        long contentLength() {
            return Long.parseLong(fields.getOrDefault("Content-Length", "0"));
        }

        boolean isChunked() {
            return "chunked".equalsIgnoreCase(fields.get("Transfer-Encoding"));
        }
    }

    /** Reads chunks until the last one; throws if the connection ends before it. */
    static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("the connection ended before the last chunk");
            }
            int length = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(length);
            body.writeBytes(chunk);
            if (chunk.length < length || readLine(in) == null) {
                throw new EOFException("the connection ended within a chunk");
            }
            if (length == 0) {
                return;
            }
        }
    }
}
