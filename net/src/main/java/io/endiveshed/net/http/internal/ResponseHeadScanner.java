package io.endiveshed.net.http.internal;

import io.endiveshed.protocol.Header;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds heads of HTTP responses in bytes that arrive in parts of any size. Bytes that may be the beginning of a head are
 * held back until that is known.
 *
 * <pre>{@code
 * ResponseHeadScanner scanner = new ResponseHeadScanner(listener);
 * byte[] passed = scanner.scan(part);
 * }</pre>
 */
final class ResponseHeadScanner {
    /** Maximum length in bytes of a head; longer ones are no heads. */
    private static final int MAX_HEAD_BYTES = 8 * 1024;

    /** Maximum length in bytes of a status line; a longer line that begins like one is text. */
    private static final int MAX_STATUS_LINE_BYTES = 128;

    private static final String PROTOCOL = "HTTP/1.";
    private static final byte[] PROTOCOL_BYTES = PROTOCOL.getBytes(StandardCharsets.US_ASCII);
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[0-9] ([0-9]{3})(?: [^\\p{Cntrl}]*)?\r");
    private static final Pattern STATUS_LINE_PREFIX =
            Pattern.compile("HTTP/1\\.(?:[0-9](?: (?:[0-9]{0,2}|[0-9]{3}(?: [^\\p{Cntrl}]*)?\r?))?)?");
    private static final Pattern FIELD = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\r]*)\r");
    private static final String EMPTY_LINE = "\r";

    private final Listener listener;
    private byte[] held = new byte[0];
    private long passedBytes;
    private boolean isInHead;
    private boolean isStopped;

    /** Index in {@link #held} of the first byte of the line that is being read; meaningful within a head. */
    private int lineStart;

    /** Index in {@link #held} of the first byte that has not been looked at for the end of that line. */
    private int unscanned;

    private int status;
    private final List<Header> fields = new ArrayList<>();

    ResponseHeadScanner(Listener listener) {
        this.listener = listener;
    }

    /**
     * Appends bytes; returns those, of these and of earlier ones, that do not belong to a head or to a part of one. After
     * the listener has stopped the scan, returns nothing but what is before that head.
     */
    byte[] scan(byte[] part) {
        if (isStopped) {
            return new byte[0];
        }
        if (held.length == 0 && indexOfHead(part, 0) == part.length) {
            passedBytes += part.length;
            return part;
        }
        int heldBefore = held.length;
        held = Arrays.copyOf(held, heldBefore + part.length);
        System.arraycopy(part, 0, held, heldBefore, part.length);
        return pass(search());
    }

    /** Returns the bytes that are held back. */
    byte[] heldBytes() {
        return held.clone();
    }

    /** Returns whether the bytes end within what may be a head. */
    boolean isInHead() {
        return isInHead;
    }

    /** Returns whether the bytes end within a head whose status line is complete. */
    boolean isAfterStatusLine() {
        return isInHead && status != 0;
    }

    /** Returns the index of the first byte from which on a head may begin; the length of the bytes if there is none. */
    private static int indexOfHead(byte[] bytes, int from) {
        for (int i = from; i < bytes.length; i++) {
            if (bytes[i] == PROTOCOL_BYTES[0]) {
                int length = Math.min(PROTOCOL_BYTES.length, bytes.length - i);
                if (Arrays.equals(bytes, i, i + length, PROTOCOL_BYTES, 0, length)) {
                    return i;
                }
            }
        }
        return bytes.length;
    }

    /** Looks at the bytes held; returns how many of them belong to no head. */
    private int search() {
        int start = 0;
        while (true) {
            if (!isInHead) {
                start = indexOfHead(held, start);
                if (start == held.length) {
                    return start;
                }
                beginHead(start);
            }
            int lineEnd = indexOfLineEnd();
            if (lineEnd < held.length) {
                String line = new String(held, lineStart, lineEnd - lineStart, StandardCharsets.ISO_8859_1);
                boolean isStatusLine = status == 0;
                int statusLine = isStatusLine ? 0 : indexOfStatusLine(line);
                if (statusLine > 0) {
                    // The head broke off within this field, and another one begins there.
                    beginHead(lineStart + statusLine);
                    start = lineStart;
                    continue;
                }
                int next = lineEnd + 1;
                isInHead = isStatusLine ? readStatusLine(line) : readField(line, next);
                if (isStopped) {
                    return start;
                }
                if (isInHead) {
                    lineStart = next;
                } else if (status != 0 && line.equals(EMPTY_LINE)) {
                    start = next;
                } else {
                    // Another head can begin only in the line that is no part of this one.
                    start = isStatusLine ? start + 1 : lineStart;
                }
            } else if (isTooLong(start) || !mayBecomeStatusLine()) {
                isInHead = false;
                start = status == 0 ? start + 1 : lineStart;
            } else {
                return start;
            }
        }
    }

    private void beginHead(int start) {
        isInHead = true;
        lineStart = start;
        unscanned = start;
        status = 0;
        fields.clear();
    }

    private int indexOfLineEnd() {
        while (unscanned < held.length && held[unscanned] != '\n') {
            unscanned++;
        }
        return unscanned < held.length ? unscanned++ : held.length;
    }

    /** Returns the index in a line from which on it is a status line; negative if it contains none. */
    private static int indexOfStatusLine(String line) {
        int index = line.indexOf(PROTOCOL);
        while (index >= 0 && !STATUS_LINE.matcher(line.substring(index)).matches()) {
            index = line.indexOf(PROTOCOL, index + 1);
        }
        return index;
    }

    private boolean isTooLong(int start) {
        return held.length - start > (status == 0 ? MAX_STATUS_LINE_BYTES : MAX_HEAD_BYTES);
    }

    /** Returns whether an incomplete line is no status line, or the beginning of one. */
    private boolean mayBecomeStatusLine() {
        int length = held.length - lineStart;
        return status != 0
                || length <= PROTOCOL_BYTES.length
                || STATUS_LINE_PREFIX
                        .matcher(new String(held, lineStart, length, StandardCharsets.ISO_8859_1))
                        .matches();
    }

    private boolean readStatusLine(String line) {
        Matcher matcher = STATUS_LINE.matcher(line);
        if (line.length() > MAX_STATUS_LINE_BYTES || !matcher.matches()) {
            return false;
        }
        status = Integer.parseInt(matcher.group(1));
        return true;
    }

    /** Reads a line after the status line; returns whether the head goes on after it. */
    private boolean readField(String line, int end) {
        if (line.equals(EMPTY_LINE)) {
            isStopped = listener.headEnded(status, Collections.unmodifiableList(fields), passedBytes + end);
            return false;
        }
        Matcher matcher = FIELD.matcher(line);
        if (!matcher.matches()) {
            return false;
        }
        fields.add(new Header(matcher.group(1), matcher.group(2).trim()));
        isStopped = listener.fieldRead(status, Collections.unmodifiableList(fields));
        return true;
    }

    private byte[] pass(int length) {
        byte[] passed = Arrays.copyOf(held, length);
        held = Arrays.copyOfRange(held, length, held.length);
        passedBytes += length;
        lineStart -= length;
        unscanned -= length;
        return passed;
    }

    /** Receives the heads that are found; its methods return whether to stop the scan at the head. */
    interface Listener {
        /**
         * Called after each header field of a head.
         *
         * @param status status of the head
         * @param fields header fields so far
         */
        boolean fieldRead(int status, List<Header> fields);

        /**
         * Called when a head is complete.
         *
         * @param status status of the head
         * @param fields all header fields
         * @param offset number of bytes, from the first one that was scanned, up to the end of the head
         */
        boolean headEnded(int status, List<Header> fields, long offset);
    }
}
