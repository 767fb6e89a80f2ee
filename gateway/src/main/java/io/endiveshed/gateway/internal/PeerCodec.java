package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.crash.AnsweredTrait;
import io.endiveshed.coordination.crash.BlockedTrait;
import io.endiveshed.coordination.crash.RequestTrait;
import io.endiveshed.coordination.crash.TargetCrash;
import io.endiveshed.coordination.limit.ColdNotice;
import io.endiveshed.coordination.limit.LimitNotice;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the datagrams that entries exchange, in MessagePack. */
final class PeerCodec {
    /** Format number of the datagrams; other formats are ignored, so that entries of two versions can run together. */
    private static final int FORMAT = 2;

    /** Kinds of datagrams; 3 and 4 named only parts of prompts in earlier builds. */
    private static final int HEARTBEAT = 0;

    private static final int STARTED = 1;
    private static final int ENDED = 2;
    private static final int CRASHED = 5;
    private static final int ANSWERED = 6;
    private static final int SHARING_QUESTION = 7;
    private static final int SHARING_ANSWER = 8;

    /** Maximum number of engines in one notice: the primary engine and its helpers. */
    private static final int MAX_ENGINES = 17;

    /** Maximum number of traits in one datagram, which keeps it within about one packet of a network. */
    private static final int MAX_TRAITS = 64;

    /** Kinds of traits in the order of their numbers in datagrams. */
    private static final List<RequestTrait.Kind> TRAIT_KINDS =
            List.of(RequestTrait.Kind.REQUEST, RequestTrait.Kind.PATH, RequestTrait.Kind.PROMPT_PART);

    /** Maximum number of limits in one heartbeat, for the same reason. */
    private static final int MAX_LIMITS = 16;

    /** Maximum number of cold targets in one heartbeat, for the same reason. */
    private static final int MAX_COLD = 32;

    /** Stands for a target that no longer names a limit. */
    private static final double NO_LIMIT = -1;

    private PeerCodec() {}

    /**
     * Encodes a heartbeat.
     *
     * @param sender sender of the heartbeat
     * @param stateAgeMillis age of its desired state in milliseconds
     * @param blocked traits of requests that it blocks; those beyond the maximum are left out
     * @param limits limits of targets that it knows, the most important first; those beyond the maximum are left out
     * @param unreachableEntries number of listed entries of which it receives no heartbeats
     * @param cold targets that are cold, the most important first; those beyond the maximum are left out
     */
    static byte[] heartbeat(
            PeerIncarnation sender,
            long stateAgeMillis,
            List<BlockedTrait> blocked,
            List<LimitNotice> limits,
            int unreachableEntries,
            List<ColdNotice> cold) {
        return pack(sender, HEARTBEAT, packer -> {
            packer.packLong(stateAgeMillis);
            // Earlier builds expect the parts of prompts that are blocked.
            packer.packArrayHeader(0);
            packer.packArrayHeader(Math.min(MAX_LIMITS, limits.size()));
            for (LimitNotice limit : limits.subList(0, Math.min(MAX_LIMITS, limits.size()))) {
                packer.packString(limit.target().value());
                packer.packLong(limit.startedMillis());
                packer.packDouble(limit.requestsPerSecond().orElse(NO_LIMIT));
                packer.packLong(limit.ageMillis());
            }
            packer.packArrayHeader(Math.min(MAX_TRAITS, blocked.size()));
            for (BlockedTrait block : blocked.subList(0, Math.min(MAX_TRAITS, blocked.size()))) {
                packTrait(packer, block.trait());
                packer.packLong(block.ageMillis());
                packer.packLong(block.remainingMillis());
            }
            packer.packInt(unreachableEntries);
            packCold(packer, cold);
        });
    }

    private static void packCold(MessageBufferPacker packer, List<ColdNotice> cold) throws IOException {
        packer.packArrayHeader(Math.min(MAX_COLD, cold.size()));
        for (ColdNotice notice : cold.subList(0, Math.min(MAX_COLD, cold.size()))) {
            packer.packString(notice.target().value());
            packer.packLong(notice.startedMillis());
            packer.packLong(notice.remainingMillis());
        }
    }

    /** Encodes a datagram by which entries share what they read from the store. */
    static byte[] sharing(PeerIncarnation sender, SharingMessage message) {
        if (message instanceof SharingMessage.Question question) {
            return pack(sender, SHARING_QUESTION, packer -> SharingCodec.writeQuestion(packer, question));
        }
        SharingMessage.Answer answer = (SharingMessage.Answer) message;
        return pack(sender, SHARING_ANSWER, packer -> SharingCodec.writeAnswer(packer, answer));
    }

    /** Encodes the crash of a target; the most specific of its traits come first, and those beyond the maximum are left out. */
    static byte[] crashed(PeerIncarnation sender, TargetCrash crash) {
        return pack(sender, CRASHED, packer -> {
            packer.packString(crash.target().value());
            packer.packLong(crash.startedMillis());
            packTraits(packer, crash.traits());
        });
    }

    /** Encodes answers to requests that are suspected of crashes; those beyond the maximum are left out. */
    static byte[] answered(PeerIncarnation sender, List<AnsweredTrait> answers) {
        return pack(sender, ANSWERED, packer -> {
            packer.packArrayHeader(Math.min(MAX_TRAITS, answers.size()));
            for (AnsweredTrait answer : answers.subList(0, Math.min(MAX_TRAITS, answers.size()))) {
                packTrait(packer, answer.trait());
                packer.packLong(answer.ageMillis());
            }
        });
    }

    private static void packTraits(MessageBufferPacker packer, Set<RequestTrait> traits) throws IOException {
        List<RequestTrait> packed = traits.stream()
                .sorted(Comparator.comparing(RequestTrait::kind))
                .limit(MAX_TRAITS)
                .toList();
        packer.packArrayHeader(packed.size());
        for (RequestTrait trait : packed) {
            packTrait(packer, trait);
        }
    }

    private static void packTrait(MessageBufferPacker packer, RequestTrait trait) throws IOException {
        packer.packInt(TRAIT_KINDS.indexOf(trait.kind()));
        packer.packString(trait.value());
    }

    /** Encodes the end of a prompt, with the prefill in milliseconds that each of its engines is spared. */
    static byte[] ended(PeerIncarnation sender, long number, double remainingPrefillMillis) {
        return pack(sender, ENDED, packer -> {
            packer.packLong(number);
            packer.packFloat((float) remainingPrefillMillis);
        });
    }

    /** Encodes the start of a prompt. */
    static byte[] started(PeerIncarnation sender, PlacementNotice notice) {
        return pack(sender, STARTED, packer -> {
            packer.packLong(notice.number());
            packer.packArrayHeader(notice.engineIds().size());
            for (InstanceId engineId : notice.engineIds()) {
                packer.packString(engineId.value());
            }
            packer.packFloat((float) notice.prefillMillis());
            packer.packFloat((float) notice.firstEventMillis());
            packer.packFloat((float) notice.endMillis());
            packer.packFloat((float) notice.firstEventBudgetMillis());
            packer.packFloat((float) notice.callerTimeoutMillis());
            packer.packFloat((float) notice.maxPauseMillis());
            packer.packFloat((float) notice.weight());
            packer.packLong(notice.kvTokens());
            packer.packInt(notice.holderCount());
            packer.packLong(notice.holderKvTokens());
        });
    }

    /** Decodes a datagram; empty if it is malformed or has another format. */
    static Optional<PeerDatagram> read(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackInt() != FORMAT) {
                return Optional.empty();
            }
            int kind = unpacker.unpackInt();
            PeerIncarnation sender =
                    new PeerIncarnation(new InstanceId(unpacker.unpackString()), unpacker.unpackLong());
            return switch (kind) {
                case HEARTBEAT -> Optional.of(PeerDatagram.ofHeartbeat(sender, readHeartbeat(unpacker)));
                case STARTED -> Optional.of(PeerDatagram.ofStart(sender, readNotice(unpacker)));
                case ENDED ->
                    Optional.of(PeerDatagram.ofEnd(sender, new End(unpacker.unpackLong(), unpacker.unpackFloat())));
                case CRASHED -> Optional.of(PeerDatagram.ofCrash(sender, readCrash(unpacker)));
                case ANSWERED -> Optional.of(PeerDatagram.ofAnswers(sender, readAnswers(unpacker)));
                case SHARING_QUESTION ->
                    Optional.of(PeerDatagram.ofSharing(sender, SharingCodec.readQuestion(unpacker)));
                case SHARING_ANSWER -> Optional.of(PeerDatagram.ofSharing(sender, SharingCodec.readAnswer(unpacker)));
                default -> Optional.empty();
            };
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Reads a heartbeat; those of earlier builds end after any of its fields, and name blocked parts of prompts. */
    private static Heartbeat readHeartbeat(MessageUnpacker unpacker) throws IOException {
        OptionalLong stateAge = unpacker.hasNext() ? OptionalLong.of(unpacker.unpackLong()) : OptionalLong.empty();
        int blockedParts = unpacker.hasNext() ? readTraitCount(unpacker) : 0;
        for (int i = 0; i < blockedParts; i++) {
            unpacker.unpackString();
            unpacker.unpackLong();
        }
        List<LimitNotice> limits = unpacker.hasNext() ? readLimits(unpacker) : List.of();
        List<BlockedTrait> blocked = unpacker.hasNext() ? readBlocked(unpacker) : List.of();
        int unreachableEntries = unpacker.hasNext() ? unpacker.unpackInt() : 0;
        List<ColdNotice> cold = unpacker.hasNext() ? readCold(unpacker) : List.of();
        return new Heartbeat(stateAge, blocked, limits, unreachableEntries, cold);
    }

    private static List<BlockedTrait> readBlocked(MessageUnpacker unpacker) throws IOException {
        int count = readTraitCount(unpacker);
        List<BlockedTrait> blocked = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            blocked.add(new BlockedTrait(readTrait(unpacker), unpacker.unpackLong(), unpacker.unpackLong()));
        }
        return blocked;
    }

    private static List<LimitNotice> readLimits(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_LIMITS) {
            throw new IllegalArgumentException("a heartbeat names at most " + MAX_LIMITS + " limits, not " + count);
        }
        List<LimitNotice> limits = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            InstanceId target = new InstanceId(unpacker.unpackString());
            long startedMillis = unpacker.unpackLong();
            double perSecond = unpacker.unpackDouble();
            limits.add(new LimitNotice(
                    target,
                    startedMillis,
                    perSecond >= 0 ? OptionalDouble.of(perSecond) : OptionalDouble.empty(),
                    unpacker.unpackLong()));
        }
        return limits;
    }

    private static List<ColdNotice> readCold(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_COLD) {
            throw new IllegalArgumentException("a heartbeat names at most " + MAX_COLD + " cold targets, not " + count);
        }
        List<ColdNotice> cold = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            cold.add(new ColdNotice(
                    new InstanceId(unpacker.unpackString()), unpacker.unpackLong(), unpacker.unpackLong()));
        }
        return cold;
    }

    private static TargetCrash readCrash(MessageUnpacker unpacker) throws IOException {
        return new TargetCrash(new InstanceId(unpacker.unpackString()), unpacker.unpackLong(), readTraits(unpacker));
    }

    private static List<AnsweredTrait> readAnswers(MessageUnpacker unpacker) throws IOException {
        int count = readTraitCount(unpacker);
        List<AnsweredTrait> answers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            answers.add(new AnsweredTrait(readTrait(unpacker), unpacker.unpackLong()));
        }
        return answers;
    }

    private static Set<RequestTrait> readTraits(MessageUnpacker unpacker) throws IOException {
        int count = readTraitCount(unpacker);
        Set<RequestTrait> traits = new HashSet<>();
        for (int i = 0; i < count; i++) {
            traits.add(readTrait(unpacker));
        }
        return traits;
    }

    private static RequestTrait readTrait(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        if (kind < 0 || kind >= TRAIT_KINDS.size()) {
            throw new IllegalArgumentException(
                    "kinds of traits are 0 to " + (TRAIT_KINDS.size() - 1) + ", not " + kind);
        }
        return new RequestTrait(TRAIT_KINDS.get(kind), unpacker.unpackString());
    }

    private static int readTraitCount(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_TRAITS) {
            throw new IllegalArgumentException("a datagram names at most " + MAX_TRAITS + " traits, not " + count);
        }
        return count;
    }

    private static PlacementNotice readNotice(MessageUnpacker unpacker) throws IOException {
        long number = unpacker.unpackLong();
        int count = unpacker.unpackArrayHeader();
        if (count < 1 || count > MAX_ENGINES) {
            throw new IllegalArgumentException("a notice names 1 to " + MAX_ENGINES + " engines, not " + count);
        }
        List<InstanceId> engineIds = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            engineIds.add(new InstanceId(unpacker.unpackString()));
        }
        return new PlacementNotice(
                number,
                engineIds,
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackLong());
    }

    private static byte[] pack(PeerIncarnation sender, int kind, BodyWriter body) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT);
            packer.packInt(kind);
            packer.packString(sender.instance().value());
            packer.packLong(sender.startedMillis());
            body.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("packing a datagram into a memory buffer failed", e);
        }
    }

    /** Writes the part of a datagram that depends on its kind. */
    private interface BodyWriter {
        void write(MessageBufferPacker packer) throws IOException;
    }

    /**
     * One process lifetime of an entry; a restart of the entry is a new incarnation.
     *
     * @param instance instance of the entry
     * @param startedMillis Unix time of its start in milliseconds
     */
    record PeerIncarnation(InstanceId instance, long startedMillis) {}

    /**
     * State of an entry that it repeats.
     *
     * @param stateAgeMillis age of the sender's desired state in milliseconds, if the datagram tells it
     * @param blocked traits of requests that the sender blocks
     * @param limits what the sender knows of limits that targets name
     * @param unreachableEntries number of listed entries of which the sender receives no heartbeats
     * @param cold targets that are cold according to what the sender itself has read
     */
    record Heartbeat(
            OptionalLong stateAgeMillis,
            List<BlockedTrait> blocked,
            List<LimitNotice> limits,
            int unreachableEntries,
            List<ColdNotice> cold) {}

    /**
     * End of a prompt.
     *
     * @param number number of the prompt
     * @param remainingPrefillMillis prefill in milliseconds that each engine of the prompt is spared
     */
    record End(long number, double remainingPrefillMillis) {}
}
