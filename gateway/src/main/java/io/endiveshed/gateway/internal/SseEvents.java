package io.endiveshed.gateway.internal;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/** Splits a stream of server-sent events into whole events. An event ends with an empty line. */
final class SseEvents {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private OptionalLong lastId = OptionalLong.empty();
    private OptionalLong firstIdOfTake = OptionalLong.empty();
    private boolean continuous = true;
    private int events;

    /** Takes bytes and returns those that complete whole events, together with what was held before; may be empty. */
    byte[] take(byte[] bytes) {
        firstIdOfTake = OptionalLong.empty();
        continuous = true;
        int end = 0;
        int held = partial.size();
        partial.writeBytes(bytes);
        byte[] all = partial.toByteArray();
        int start = 0;
        for (int i = Math.max(1, held - 2); i < all.length; i++) {
            boolean emptyLine =
                    all[i] == '\n' && (all[i - 1] == '\n' || (i >= 3 && all[i - 1] == '\r' && all[i - 2] == '\n'));
            if (emptyLine) {
                noteEvent(new String(all, start, i + 1 - start, StandardCharsets.UTF_8));
                start = i + 1;
                end = start;
            }
        }
        partial.reset();
        partial.write(all, end, all.length - end);
        return end == all.length ? all : Arrays.copyOf(all, end);
    }

    /** Tells whether bytes of an unfinished event are held. */
    boolean hasPartial() {
        return partial.size() > 0;
    }

    /** Returns the number of whole events so far. */
    int events() {
        return events;
    }

    /** Returns the id of the last whole event that had one. */
    OptionalLong lastId() {
        return lastId;
    }

    /** Returns the id of the first event that the last call of {@link #take} completed. */
    OptionalLong firstIdOfLastTake() {
        return firstIdOfTake;
    }

    /** Tells whether the ids of the events that the last call of {@link #take} completed follow one another. */
    boolean isContinuous() {
        return continuous;
    }

    private void noteEvent(String event) {
        events++;
        for (String line : event.lines().toList()) {
            if (line.startsWith(ID_FIELD)) {
                try {
                    noteId(Long.parseLong(line.substring(ID_FIELD.length()).trim()));
                } catch (NumberFormatException e) {
                    // An id that is no number cannot be continued from; the stream is then not resumable here.
                    lastId = OptionalLong.empty();
                }
            }
        }
    }

    private void noteId(long id) {
        if (firstIdOfTake.isEmpty()) {
            firstIdOfTake = OptionalLong.of(id);
        } else if (lastId.isPresent() && id != lastId.getAsLong() + 1) {
            continuous = false;
        }
        lastId = OptionalLong.of(id);
    }
}
