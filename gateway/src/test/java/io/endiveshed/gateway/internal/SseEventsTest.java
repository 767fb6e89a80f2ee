package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class SseEventsTest {
    private final SseEvents events = new SseEvents();

    /** Guards against a part of an event that reaches a caller before its rest has arrived. */
    @Test
    void eventsAreHeldUntilTheyAreWhole() {
        StringBuilder relayed = new StringBuilder();
        String stream = "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\nid: 9\ndata: c";
        for (int i = 0; i < stream.length(); i++) {
            relayed.append(take(stream.substring(i, i + 1)));
        }
        assertThat(relayed.toString()).isEqualTo("id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\n");
        assertThat(events.events()).isEqualTo(2);
        assertThat(events.lastId()).isEqualTo(OptionalLong.of(8));
        assertThat(events.hasPartial()).isTrue();
    }

    /** Guards against a missing or repeated event between two of the same packet. */
    @Test
    void gapsWithinOnePacketAreSeen() {
        take("id: 1\n\nid: 2\n\n");
        assertThat(events.isContinuous()).isTrue();
        assertThat(events.firstIdOfLastTake()).isEqualTo(OptionalLong.of(1));
        take("id: 3\n\nid: 5\n\n");
        assertThat(events.isContinuous()).isFalse();
    }

    /** Guards against resuming a stream after an id that is no number. */
    @Test
    void streamWithOtherIdsHasNoLastId() {
        take("id: 1\n\nid: x\n\n");
        assertThat(events.lastId()).isEqualTo(OptionalLong.empty());
    }

    private String take(String text) {
        return new String(events.take(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }
}
