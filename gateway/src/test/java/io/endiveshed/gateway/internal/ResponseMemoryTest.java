package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.gateway.GatewaySettings;
import org.junit.jupiter.api.Test;

final class ResponseMemoryTest {
    private final ResponseMemory memory = new ResponseMemory(new GatewaySettings.ResponseLimits(10, 60, 100));

    /** Guards against many responses that are each within their limit and together exhaust the heap. */
    @Test
    void sumOfAllResponsesIsLimited() {
        ResponseMemory.Share first = memory.newShare();
        ResponseMemory.Share second = memory.newShare();
        assertThat(first.tryResize(60)).isTrue();
        assertThat(second.tryResize(41)).isFalse();
        assertThat(second.tryResize(40)).isTrue();
        assertThat(memory.heldBytes()).isEqualTo(100);
    }

    /** Guards against memory that stays accounted for after its response has ended. */
    @Test
    void releasedMemoryIsAvailableAgain() {
        ResponseMemory.Share first = memory.newShare();
        assertThat(first.tryResize(100)).isTrue();
        first.release();
        first.release();
        assertThat(memory.heldBytes()).isEqualTo(0);
        assertThat(memory.newShare().tryResize(100)).isTrue();
    }
}
