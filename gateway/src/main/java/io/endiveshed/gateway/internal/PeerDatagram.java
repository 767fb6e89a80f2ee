package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.crash.AnsweredTrait;
import io.endiveshed.coordination.crash.TargetCrash;
import io.endiveshed.gateway.internal.PeerCodec.End;
import io.endiveshed.gateway.internal.PeerCodec.Heartbeat;
import io.endiveshed.gateway.internal.PeerCodec.PeerIncarnation;
import java.util.List;
import java.util.Optional;

/**
 * Decoded datagram, of which one field after the sender is set.
 *
 * @param sender entry that sent it
 * @param heartbeat state of the sender
 * @param started prompt that started
 * @param ended prompt that ended
 * @param crash target that crashed
 * @param answers answers to requests that are suspected of crashes
 * @param sharing what entries share of the store
 */
record PeerDatagram(
        PeerIncarnation sender,
        Optional<Heartbeat> heartbeat,
        Optional<PlacementNotice> started,
        Optional<End> ended,
        Optional<TargetCrash> crash,
        List<AnsweredTrait> answers,
        Optional<SharingMessage> sharing) {
    static PeerDatagram ofHeartbeat(PeerIncarnation sender, Heartbeat heartbeat) {
        return new PeerDatagram(
                sender,
                Optional.of(heartbeat),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                Optional.empty());
    }

    static PeerDatagram ofStart(PeerIncarnation sender, PlacementNotice started) {
        return new PeerDatagram(
                sender,
                Optional.empty(),
                Optional.of(started),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                Optional.empty());
    }

    static PeerDatagram ofEnd(PeerIncarnation sender, End ended) {
        return new PeerDatagram(
                sender,
                Optional.empty(),
                Optional.empty(),
                Optional.of(ended),
                Optional.empty(),
                List.of(),
                Optional.empty());
    }

    static PeerDatagram ofCrash(PeerIncarnation sender, TargetCrash crash) {
        return new PeerDatagram(
                sender,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(crash),
                List.of(),
                Optional.empty());
    }

    static PeerDatagram ofAnswers(PeerIncarnation sender, List<AnsweredTrait> answers) {
        return new PeerDatagram(
                sender,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                answers,
                Optional.empty());
    }

    static PeerDatagram ofSharing(PeerIncarnation sender, SharingMessage message) {
        return new PeerDatagram(
                sender,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                Optional.of(message));
    }
}
