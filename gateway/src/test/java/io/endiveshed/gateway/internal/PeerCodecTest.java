package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.crash.AnsweredTrait;
import io.endiveshed.coordination.crash.BlockedTrait;
import io.endiveshed.coordination.crash.RequestTrait;
import io.endiveshed.coordination.crash.RequestTrait.Kind;
import io.endiveshed.coordination.crash.TargetCrash;
import io.endiveshed.coordination.limit.ColdNotice;
import io.endiveshed.coordination.limit.LimitNotice;
import io.endiveshed.coordination.sharing.FeedReport;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class PeerCodecTest {
    private static final PeerCodec.PeerIncarnation SENDER =
            new PeerCodec.PeerIncarnation(new InstanceId("entry-1"), 42);
    private static final BlockedTrait BLOCKED =
            new BlockedTrait(new RequestTrait(Kind.REQUEST, "Zm9vYmFy_-8x"), 800, 299_200);
    private static final LimitNotice LIMIT =
            new LimitNotice(new InstanceId("a"), 1_779_248_684_829L, OptionalDouble.of(2.5), 300);
    private static final LimitNotice NO_LIMIT = new LimitNotice(new InstanceId("b"), 0, OptionalDouble.empty(), 9_000);
    private static final TargetCrash CRASH = new TargetCrash(
            new InstanceId("a"),
            1_779_248_684_829L,
            Set.of(new RequestTrait(Kind.REQUEST, "5c1e07a2"), new RequestTrait(Kind.PROMPT_PART, "91bd3f06")));
    private static final ColdNotice COLD = new ColdNotice(new InstanceId("engine-3"), 1_700_000_000_003L, 4_200);
    private static final AnsweredTrait ANSWERED = new AnsweredTrait(new RequestTrait(Kind.REQUEST, "5c1e07a2"), 1_500);
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
        PeerDatagram started = PeerCodec.read(PeerCodec.started(SENDER, NOTICE)).orElseThrow();
        assertThat(started.sender()).isEqualTo(SENDER);
        assertThat(started.started()).isEqualTo(Optional.of(NOTICE));
        PeerDatagram ended = PeerCodec.read(PeerCodec.ended(SENDER, 7, 12.5)).orElseThrow();
        assertThat(ended.ended()).isEqualTo(Optional.of(new PeerCodec.End(7, 12.5)));
        PeerDatagram heartbeat = PeerCodec.read(PeerCodec.heartbeat(
                        SENDER, 1_200, List.of(BLOCKED), List.of(LIMIT, NO_LIMIT), 3, List.of(COLD)))
                .orElseThrow();
        assertThat(heartbeat.started()).isEqualTo(Optional.empty());
        assertThat(heartbeat.heartbeat())
                .isEqualTo(Optional.of(new PeerCodec.Heartbeat(
                        OptionalLong.of(1_200), List.of(BLOCKED), List.of(LIMIT, NO_LIMIT), 3, List.of(COLD))));
        assertThat(started.heartbeat()).isEqualTo(Optional.empty());
    }

    /** Guards against feeds that count as confirmed at another time than the sender has told. */
    @Test
    void decodesWhatEntriesShareOfTheStore() {
        SharingMessage question = new SharingMessage.Question(Long.MIN_VALUE);
        FeedReport confirmed = new FeedReport("targets", 3, 900, -5, OptionalLong.of(40), OptionalLong.empty());
        FeedReport unconfirmed = new FeedReport("crashes", 3, 900, 7, OptionalLong.empty(), OptionalLong.of(9_000));
        SharingMessage answer =
                new SharingMessage.Answer(42, List.of(confirmed, unconfirmed), ByteBuffer.wrap(new byte[] {1, 2}));
        for (SharingMessage message : List.of(question, answer)) {
            PeerDatagram read =
                    PeerCodec.read(PeerCodec.sharing(SENDER, message)).orElseThrow();
            assertThat(read.sharing()).isEqualTo(Optional.of(message));
        }
    }

    /** Guards against an age below zero, which would make knowledge younger than the question. */
    @Test
    void impossibleAgesAreNotKnown() {
        for (long age : new long[] {-1, -1_000, Long.MIN_VALUE, Long.MAX_VALUE}) {
            FeedReport report = new FeedReport("targets", 3, 9, 5, OptionalLong.of(age), OptionalLong.of(age));
            byte[] bytes =
                    PeerCodec.sharing(SENDER, new SharingMessage.Answer(42, List.of(report), SharingCodec.NO_CHANGES));
            SharingMessage.Answer read = (SharingMessage.Answer)
                    PeerCodec.read(bytes).orElseThrow().sharing().orElseThrow();
            assertThat(read.feeds().get(0).ageMillis()).isEqualTo(OptionalLong.empty());
            assertThat(read.feeds().get(0).outageMillis()).isEqualTo(OptionalLong.empty());
        }
    }

    /** Guards against crashes and answers that other entries attribute to the wrong engine or parts. */
    @Test
    void decodesCrashesAndAnswers() {
        PeerDatagram crashed = PeerCodec.read(PeerCodec.crashed(SENDER, CRASH)).orElseThrow();
        assertThat(crashed.crash()).isEqualTo(Optional.of(CRASH));
        PeerDatagram answered =
                PeerCodec.read(PeerCodec.answered(SENDER, List.of(ANSWERED))).orElseThrow();
        assertThat(answered.answers()).containsExactly(ANSWERED);
        assertThat(answered.crash()).isEqualTo(Optional.empty());
    }

    /** Guards against the traits of sound requests that displace the request at fault from a full datagram. */
    @Test
    void wholeRequestsComeFirstInADatagramThatHasNoRoomForAllTraits() {
        Set<RequestTrait> traits = new HashSet<>(Set.of(new RequestTrait(Kind.REQUEST, "culprit")));
        for (int i = 0; i < 100; i++) {
            traits.add(new RequestTrait(Kind.PROMPT_PART, "part" + i));
        }
        PeerDatagram crashed = PeerCodec.read(PeerCodec.crashed(SENDER, new TargetCrash(CRASH.target(), 1, traits)))
                .orElseThrow();
        assertThat(crashed.crash().orElseThrow().traits()).contains(new RequestTrait(Kind.REQUEST, "culprit"));
        assertThat(crashed.crash().orElseThrow().traits()).hasSize(64);
    }

    /** Guards against a notice that is decoded from an incomplete datagram. */
    @Test
    void ignoresTruncatedDatagrams() {
        for (byte[] whole : List.of(PeerCodec.started(SENDER, NOTICE), PeerCodec.crashed(SENDER, CRASH))) {
            for (int length = 0; length < whole.length; length++) {
                assertThat(PeerCodec.read(Arrays.copyOf(whole, length))).isEqualTo(Optional.empty());
            }
        }
    }

    /** Guards against a corrupt datagram, or one of another program, that makes the decoder throw. */
    @Test
    void corruptDatagramsDoNotThrow() {
        Random random = new Random(20_261_204);
        for (byte[] whole : List.of(
                PeerCodec.started(SENDER, NOTICE),
                PeerCodec.crashed(SENDER, CRASH),
                PeerCodec.heartbeat(SENDER, 1_200, List.of(BLOCKED), List.of(LIMIT, NO_LIMIT), 3, List.of(COLD)))) {
            for (int i = 0; i < 20_000; i++) {
                byte[] corrupt = whole.clone();
                corrupt[random.nextInt(corrupt.length)] = (byte) random.nextInt();
                corrupt[random.nextInt(corrupt.length)] = (byte) random.nextInt();
                PeerCodec.read(corrupt);
            }
        }
        assertThat(PeerCodec.read(new byte[] {2})).isEqualTo(Optional.empty());
    }
}
