package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.coordination.sharing.FeedChanges;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class SharingCodecTest {
    /** Guards against a change that is lost or altered between two entries. */
    @Test
    void unpacksWhatWasPacked() {
        FeedChanges changes = changes(3, 20);
        assertThat(SharingCodec.unpackChanges(SharingCodec.packChanges(changes, 3)))
                .isEqualTo(Optional.of(changes));
        assertThat(SharingCodec.unpackChanges(SharingCodec.NO_CHANGES)).isEqualTo(Optional.empty());
    }

    /** Guards against datagrams that grow with the size and number of changes, and against a gap in the new ones. */
    @Test
    void oldChangesAreLeftOutAndNewOnesAreSentTogetherOrNotAtAll() {
        FeedChanges packed = SharingCodec.unpackChanges(SharingCodec.packChanges(changes(40, 500), 2))
                .orElseThrow();
        assertThat(packed.changes().size()).isAtLeast(2);
        assertThat(packed.changes().size()).isLessThan(40);
        assertThat(packed.digestBefore()).isEqualTo(40 - packed.changes().size());
        assertThat(SharingCodec.packChanges(changes(40, 500), 30)).isEqualTo(SharingCodec.NO_CHANGES);
        assertThat(SharingCodec.packChanges(changes(1, 20_000), 1)).isEqualTo(SharingCodec.NO_CHANGES);
    }

    /** Guards against a datagram that takes much memory, or stops the entry because it is malformed. */
    @Test
    void malformedAndTooLargeChangesAreIgnored() {
        FeedChanges large = new FeedChanges(
                "targets", 1, 2, 3, List.of(new FeedChanges.Change("a", 1, 4, Optional.of("x".repeat(1_000_000)))));
        ByteBuffer packed = SharingCodec.packChanges(large, 1);
        assertThat(packed.remaining()).isGreaterThan(0);
        assertThat(SharingCodec.unpackChanges(packed)).isEqualTo(Optional.empty());
        Random random = new Random(5);
        byte[] valid = SharingCodec.packChanges(changes(3, 20), 3).array();
        for (int i = 0; i < 2_000; i++) {
            byte[] damaged = valid.clone();
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            SharingCodec.unpackChanges(ByteBuffer.wrap(damaged));
        }
    }

    private static FeedChanges changes(int count, int length) {
        Random random = new Random(1);
        List<FeedChanges.Change> changes = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            StringBuilder source = new StringBuilder();
            random.ints(length, 32, 127).forEach(source::appendCodePoint);
            changes.add(new FeedChanges.Change("target-" + i, i, i, Optional.of(source.toString())));
        }
        return new FeedChanges("targets", 1, count, 0, changes);
    }
}
