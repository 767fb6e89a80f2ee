package io.endiveshed.gateway.internal;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events into whole events and reads their ids. An empty line ends an event. Each byte is
 * looked at once, whatever the number of reads in which an event arrives.
 */
final class SseEventSplitter {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();
    private OptionalLong lastId = OptionalLong.empty();
    private OptionalLong firstIdOfAppend = OptionalLong.empty();
    private boolean isContinuous = true;
    private boolean isAtLineStart;
    private int eventCount;

    /** Appends bytes of the stream and returns all bytes that now belong to whole events; may be empty. */
    byte[] append(byte[] bytes) {
        firstIdOfAppend = OptionalLong.empty();
        isContinuous = true;
        ByteArrayOutputStream wholeEvents = new ByteArrayOutputStream();
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                if (isAtLineStart) {
                    partialEvent.write(bytes, start, i + 1 - start);
                    start = i + 1;
                    readEvent(partialEvent.toString(StandardCharsets.UTF_8));
                    wholeEvents.writeBytes(partialEvent.toByteArray());
                    partialEvent.reset();
                }
                isAtLineStart = true;
            } else if (bytes[i] != '\r') {
                isAtLineStart = false;
            }
        }
        partialEvent.write(bytes, start, bytes.length - start);
        return wholeEvents.toByteArray();
    }

    /** Returns whether the bytes appended so far end within an event. */
    boolean hasPartialEvent() {
        return partialEvent.size() > 0;
    }

    /** Returns the length in bytes of the event that is not yet whole. */
    int partialEventBytes() {
        return partialEvent.size();
    }

    /** Returns the number of whole events so far. */
    int eventCount() {
        return eventCount;
    }

    /** Returns the id of the last whole event that had one; empty if an id that is not a number came last. */
    OptionalLong lastId() {
        return lastId;
    }

    /** Returns the id of the first event that the last call of {@link #append} completed. */
    OptionalLong firstIdOfLastAppend() {
        return firstIdOfAppend;
    }

    /** Returns whether the ids of the events that the last call of {@link #append} completed are consecutive. */
    boolean isContinuous() {
        return isContinuous;
    }

    private void readEvent(String event) {
        eventCount++;
        for (String line : event.lines().toList()) {
            if (line.startsWith(ID_FIELD)) {
                try {
                    recordId(Long.parseLong(line.substring(ID_FIELD.length()).trim()));
                } catch (NumberFormatException e) {
                    // A stream can be resumed only after a numeric id, so this one is not resumable from here.
                    lastId = OptionalLong.empty();
                }
            }
        }
    }

    private void recordId(long id) {
        if (firstIdOfAppend.isEmpty()) {
            firstIdOfAppend = OptionalLong.of(id);
        } else if (lastId.isPresent() && id != lastId.getAsLong() + 1) {
            isContinuous = false;
        }
        lastId = OptionalLong.of(id);
    }
}
