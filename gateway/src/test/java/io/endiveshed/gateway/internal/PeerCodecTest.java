package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.InstanceId;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class PeerCodecTest {
    private static final PeerCodec.PeerIncarnation SENDER =
            new PeerCodec.PeerIncarnation(new InstanceId("entry-1"), 42);
    private static final PlacementNotice NOTICE = new PlacementNotice(
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

    /** Guards against a field that is lost or changed between two entries. */
    @Test
    void decodesWhatWasEncoded() {
        PeerCodec.PeerDatagram started =
                PeerCodec.read(PeerCodec.started(SENDER, NOTICE)).orElseThrow();
        assertThat(started.sender()).isEqualTo(SENDER);
        assertThat(started.started()).isEqualTo(Optional.of(NOTICE));
        PeerCodec.PeerDatagram ended =
                PeerCodec.read(PeerCodec.ended(SENDER, 7, 12.5)).orElseThrow();
        assertThat(ended.endedNumber()).isEqualTo(7);
        assertThat(ended.remainingPrefillMillis()).isEqualTo(12.5);
        PeerCodec.PeerDatagram heartbeat =
                PeerCodec.read(PeerCodec.heartbeat(SENDER, 1_200)).orElseThrow();
        assertThat(heartbeat.started()).isEqualTo(Optional.empty());
        assertThat(heartbeat.stateAgeMillis()).isEqualTo(OptionalLong.of(1_200));
        assertThat(started.stateAgeMillis()).isEqualTo(OptionalLong.empty());
    }

    /** Guards against a notice that is decoded from an incomplete datagram. */
    @Test
    void ignoresTruncatedDatagrams() {
        byte[] whole = PeerCodec.started(SENDER, NOTICE);
        for (int length = 0; length < whole.length; length++) {
            assertThat(PeerCodec.read(Arrays.copyOf(whole, length))).isEqualTo(Optional.empty());
        }
    }

    /** Guards against a corrupt datagram, or one of another program, that makes the decoder throw. */
    @Test
    void corruptDatagramsDoNotThrow() {
        byte[] whole = PeerCodec.started(SENDER, NOTICE);
        Random random = new Random(20_261_204);
        for (int i = 0; i < 20_000; i++) {
            byte[] corrupt = whole.clone();
            corrupt[random.nextInt(corrupt.length)] = (byte) random.nextInt();
            corrupt[random.nextInt(corrupt.length)] = (byte) random.nextInt();
            PeerCodec.read(corrupt);
        }
        assertThat(PeerCodec.read(new byte[] {2})).isEqualTo(Optional.empty());
    }
}
