package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.InstanceId;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class PeerCodecTest {
    private static final PeerCodec.PeerId SENDER = new PeerCodec.PeerId(new InstanceId("entry-1"), 42);
    private static final WorkNotice NOTICE = new WorkNotice(
            7,
            List.of(new InstanceId("a"), new InstanceId("b")),
            1.5,
            100,
            2_000,
            300,
            900,
            250,
            18_000,
            6_000,
            1,
            5_000);

    /** Guards against a field that changes on its way between two entries. */
    @Test
    void noticesAreReadAsWritten() {
        PeerCodec.PeerMessage started =
                PeerCodec.read(PeerCodec.started(SENDER, NOTICE)).orElseThrow();
        assertThat(started.sender()).isEqualTo(SENDER);
        assertThat(started.started()).isEqualTo(Optional.of(NOTICE));
        PeerCodec.PeerMessage ended =
                PeerCodec.read(PeerCodec.ended(SENDER, 7, 12.5)).orElseThrow();
        assertThat(ended.ended()).isEqualTo(7);
        assertThat(ended.unreadMillis()).isEqualTo(12.5);
        assertThat(PeerCodec.read(PeerCodec.hello(SENDER)).orElseThrow().started())
                .isEqualTo(Optional.empty());
    }

    /** Guards against a notice that is read from a part of its datagram. */
    @Test
    void truncatedDatagramsAreIgnored() {
        byte[] whole = PeerCodec.started(SENDER, NOTICE);
        for (int length = 0; length < whole.length; length++) {
            assertThat(PeerCodec.read(Arrays.copyOf(whole, length))).isEqualTo(Optional.empty());
        }
    }

    /** Guards against a datagram of another program that ends the exchange with an exception. */
    @Test
    void foreignDatagramsEndNothing() {
        byte[] whole = PeerCodec.started(SENDER, NOTICE);
        Random random = new Random(20_261_204);
        for (int i = 0; i < 20_000; i++) {
            byte[] foreign = whole.clone();
            foreign[random.nextInt(foreign.length)] = (byte) random.nextInt();
            foreign[random.nextInt(foreign.length)] = (byte) random.nextInt();
            PeerCodec.read(foreign);
        }
        assertThat(PeerCodec.read(new byte[] {2})).isEqualTo(Optional.empty());
    }
}
