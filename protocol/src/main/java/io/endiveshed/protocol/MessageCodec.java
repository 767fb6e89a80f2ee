package io.endiveshed.protocol;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.protocol.Message.AttemptFailed;
import io.endiveshed.protocol.Message.BodyChunk;
import io.endiveshed.protocol.Message.Cancel;
import io.endiveshed.protocol.Message.CancelAck;
import io.endiveshed.protocol.Message.Challenge;
import io.endiveshed.protocol.Message.ConfigOffer;
import io.endiveshed.protocol.Message.ConfigPiece;
import io.endiveshed.protocol.Message.ConfigPull;
import io.endiveshed.protocol.Message.Credit;
import io.endiveshed.protocol.Message.Dispatch;
import io.endiveshed.protocol.Message.Hello;
import io.endiveshed.protocol.Message.Leaving;
import io.endiveshed.protocol.Message.LoadReport;
import io.endiveshed.protocol.Message.Ping;
import io.endiveshed.protocol.Message.Pong;
import io.endiveshed.protocol.Message.ResponseHead;
import io.endiveshed.protocol.Message.Resume;
import io.endiveshed.protocol.Message.Revoke;
import io.endiveshed.protocol.Message.RevokeResult;
import io.endiveshed.protocol.Message.Welcome;
import io.endiveshed.protocol.internal.MessageFields;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads and writes messages as MessagePack arrays.
 *
 * <pre>{@code
 * byte[] frame = MessageCodec.encode(new Message.Ping(7));
 * Message message = MessageCodec.decode(frame);
 * }</pre>
 */
public final class MessageCodec {
    private static final int CHALLENGE = 1;
    private static final int HELLO = 2;
    private static final int WELCOME = 3;
    private static final int LOAD_REPORT = 4;
    private static final int DISPATCH = 5;
    private static final int BODY_CHUNK = 6;
    private static final int RESPONSE_HEAD = 7;
    private static final int ATTEMPT_FAILED = 8;
    private static final int CREDIT = 9;
    private static final int CANCEL = 10;
    private static final int CANCEL_ACK = 11;
    private static final int REVOKE = 12;
    private static final int REVOKE_RESULT = 13;
    private static final int RESUME = 14;
    private static final int LEAVING = 15;
    private static final int CONFIG_OFFER = 16;
    private static final int CONFIG_PULL = 17;
    private static final int CONFIG_PIECE = 18;
    private static final int PING = 19;
    private static final int PONG = 20;

    /** First buffer of a message in bytes; the default of 8 KiB is a hundred times the size of most messages. */
    private static final int INITIAL_BUFFER_BYTES = 512;

    private static final MessagePack.PackerConfig PACKER_CONFIG = new MessagePack.PackerConfig()
            .withBufferSize(INITIAL_BUFFER_BYTES)
            .withBufferFlushThreshold(INITIAL_BUFFER_BYTES);

    private MessageCodec() {}

    /** Encodes a message, without the length field of the frame. */
    public static byte[] encode(Message message) {
        try (MessageBufferPacker packer = PACKER_CONFIG.newBufferPacker()) {
            write(packer, message);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes a message; throws {@link MalformedMessageException} for anything that {@link #encode} cannot write. */
    public static Message decode(byte[] frame) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame)) {
            int elements = in.unpackArrayHeader();
            Message message = read(in, elements);
            if (in.hasNext()) {
                throw new MalformedMessageException(
                        "bytes after the end of " + message.getClass().getSimpleName());
            }
            return message;
        } catch (MessagePackException | IllegalArgumentException | IOException e) {
            throw new MalformedMessageException("malformed frame: " + e.getMessage());
        }
    }

    private static void write(MessagePacker packer, Message message) throws IOException {
        if (message instanceof Challenge m) {
            writeChallenge(packer, m);
        } else if (message instanceof Hello m) {
            writeHello(packer, m);
        } else if (message instanceof Welcome m) {
            writeWelcome(packer, m);
        } else if (message instanceof LoadReport m) {
            writeLoadReport(packer, m);
        } else if (message instanceof Dispatch m) {
            writeDispatch(packer, m);
        } else if (message instanceof BodyChunk m) {
            writeBodyChunk(packer, m);
        } else if (message instanceof ResponseHead m) {
            writeResponseHead(packer, m);
        } else if (message instanceof AttemptFailed m) {
            writeAttemptFailed(packer, m);
        } else if (message instanceof Credit m) {
            writeCredit(packer, m);
        } else if (message instanceof Cancel m) {
            writeCancel(packer, m);
        } else if (message instanceof CancelAck m) {
            writeCancelAck(packer, m);
        } else if (message instanceof Revoke m) {
            writeRevoke(packer, m);
        } else if (message instanceof RevokeResult m) {
            writeRevokeResult(packer, m);
        } else if (message instanceof Resume m) {
            writeResume(packer, m);
        } else if (message instanceof Leaving m) {
            writeLeaving(packer, m);
        } else if (message instanceof ConfigOffer m) {
            writeConfigOffer(packer, m);
        } else if (message instanceof ConfigPull m) {
            writeConfigPull(packer, m);
        } else if (message instanceof ConfigPiece m) {
            writeConfigPiece(packer, m);
        } else if (message instanceof Ping m) {
            writePing(packer, m);
        } else if (message instanceof Pong m) {
            writePong(packer, m);
        }
    }

    private static Message read(MessageUnpacker in, int elements) throws IOException {
        int type = in.unpackInt();
        return switch (type) {
            case CHALLENGE -> {
                MessageFields.checkElementCount(elements, 5, "Challenge");
                yield new Challenge(
                        in.unpackInt(),
                        MessageFields.readString(in),
                        new Incarnation(in.unpackLong()),
                        MessageFields.readBytes(in));
            }
            case HELLO -> {
                MessageFields.checkElementCount(elements, 13, "Hello");
                yield new Hello(
                        in.unpackInt(),
                        MessageFields.readString(in),
                        new Incarnation(in.unpackLong()),
                        MessageFields.readString(in),
                        MessageFields.readString(in),
                        MessageFields.readEnum(in, TargetKind.class),
                        MessageFields.readStrings(in),
                        MessageFields.readEnum(in, Lane.class),
                        in.unpackLong(),
                        in.unpackLong(),
                        MessageFields.readBytes(in),
                        MessageFields.readBytes(in));
            }
            case WELCOME -> {
                MessageFields.checkElementCount(elements, 3, "Welcome");
                yield new Welcome(in.unpackLong(), MessageFields.readBytes(in));
            }
            case LOAD_REPORT -> {
                MessageFields.checkElementCount(elements, 9, "LoadReport");
                yield new LoadReport(
                        in.unpackLong(),
                        in.unpackInt(),
                        in.unpackInt(),
                        in.unpackLong(),
                        in.unpackLong(),
                        in.unpackLong(),
                        in.unpackBoolean(),
                        in.unpackLong());
            }
            case DISPATCH -> {
                MessageFields.checkElementCount(elements, 18, "Dispatch");
                yield new Dispatch(
                        MessageFields.readAttempt(in),
                        new Incarnation(in.unpackLong()),
                        in.unpackLong(),
                        MessageFields.readString(in),
                        in.unpackInt(),
                        MessageFields.readEnum(in, TargetKind.class),
                        MessageFields.readString(in),
                        MessageFields.readString(in),
                        MessageFields.readHeaders(in),
                        MessageFields.readString(in),
                        MessageFields.readBytes(in),
                        in.unpackLong(),
                        in.unpackLong(),
                        in.unpackLong(),
                        in.unpackLong());
            }
            case BODY_CHUNK -> {
                MessageFields.checkElementCount(elements, 7, "BodyChunk");
                yield new BodyChunk(
                        MessageFields.readAttempt(in),
                        in.unpackLong(),
                        MessageFields.readBytes(in),
                        in.unpackBoolean());
            }
            case RESPONSE_HEAD -> {
                MessageFields.checkElementCount(elements, 7, "ResponseHead");
                yield new ResponseHead(
                        MessageFields.readAttempt(in), in.unpackInt(), MessageFields.readHeaders(in), in.unpackLong());
            }
            case ATTEMPT_FAILED -> {
                MessageFields.checkElementCount(elements, 8, "AttemptFailed");
                yield new AttemptFailed(
                        MessageFields.readAttempt(in),
                        MessageFields.readEnum(in, ErrorKind.class),
                        MessageFields.readString(in),
                        MessageFields.readEnum(in, Outcome.class),
                        in.unpackLong());
            }
            case CREDIT -> {
                MessageFields.checkElementCount(elements, 5, "Credit");
                yield new Credit(MessageFields.readAttempt(in), in.unpackInt());
            }
            case CANCEL -> {
                MessageFields.checkElementCount(elements, 4, "Cancel");
                yield new Cancel(MessageFields.readAttempt(in));
            }
            case CANCEL_ACK -> {
                MessageFields.checkElementCount(elements, 4, "CancelAck");
                yield new CancelAck(MessageFields.readAttempt(in));
            }
            case REVOKE -> {
                MessageFields.checkElementCount(elements, 7, "Revoke");
                yield new Revoke(
                        MessageFields.readAttempt(in),
                        MessageFields.readString(in),
                        MessageFields.readString(in),
                        MessageFields.readString(in));
            }
            case REVOKE_RESULT -> {
                MessageFields.checkElementCount(elements, 5, "RevokeResult");
                yield new RevokeResult(MessageFields.readAttempt(in), MessageFields.readEnum(in, Outcome.class));
            }
            case RESUME -> {
                MessageFields.checkElementCount(elements, 6, "Resume");
                yield new Resume(MessageFields.readAttempt(in), in.unpackLong(), in.unpackLong());
            }
            case LEAVING -> {
                MessageFields.checkElementCount(elements, 2, "Leaving");
                yield new Leaving(in.unpackLong());
            }
            case CONFIG_OFFER -> {
                MessageFields.checkElementCount(elements, 2, "ConfigOffer");
                yield new ConfigOffer(in.unpackLong());
            }
            case CONFIG_PULL -> {
                MessageFields.checkElementCount(elements, 2, "ConfigPull");
                yield new ConfigPull(in.unpackLong());
            }
            case CONFIG_PIECE -> {
                MessageFields.checkElementCount(elements, 5, "ConfigPiece");
                yield new ConfigPiece(in.unpackLong(), in.unpackInt(), in.unpackInt(), MessageFields.readBytes(in));
            }
            case PING -> {
                MessageFields.checkElementCount(elements, 2, "Ping");
                yield new Ping(in.unpackLong());
            }
            case PONG -> {
                MessageFields.checkElementCount(elements, 2, "Pong");
                yield new Pong(in.unpackLong());
            }
            default -> throw new MalformedMessageException("unknown message type " + type);
        };
    }

    private static void writeChallenge(MessagePacker packer, Challenge m) throws IOException {
        MessageFields.writeMessageStart(packer, 5, CHALLENGE);
        packer.packInt(m.version());
        packer.packString(m.entryInstance());
        packer.packLong(m.entryIncarnation().value());
        MessageFields.writeBytes(packer, m.nonce());
    }

    private static void writeHello(MessagePacker packer, Hello m) throws IOException {
        MessageFields.writeMessageStart(packer, 13, HELLO);
        packer.packInt(m.version());
        packer.packString(m.instance());
        packer.packLong(m.incarnation().value());
        packer.packString(m.region());
        packer.packString(m.failureDomain());
        packer.packString(m.targetKind().name());
        MessageFields.writeStrings(packer, m.serves());
        packer.packString(m.lane().name());
        packer.packLong(m.kvCapacityTokens());
        packer.packLong(m.revision());
        MessageFields.writeBytes(packer, m.nonce());
        MessageFields.writeBytes(packer, m.proof());
    }

    private static void writeWelcome(MessagePacker packer, Welcome m) throws IOException {
        MessageFields.writeMessageStart(packer, 3, WELCOME);
        packer.packLong(m.revision());
        MessageFields.writeBytes(packer, m.proof());
    }

    private static void writeLoadReport(MessagePacker packer, LoadReport m) throws IOException {
        MessageFields.writeMessageStart(packer, 9, LOAD_REPORT);
        packer.packLong(m.sequence());
        packer.packInt(m.running());
        packer.packInt(m.queued());
        packer.packLong(m.queuedTokens());
        packer.packLong(m.outstandingTokens());
        packer.packLong(m.freeKvTokens());
        packer.packBoolean(m.leaving());
        packer.packLong(m.revision());
    }

    private static void writeDispatch(MessagePacker packer, Dispatch m) throws IOException {
        MessageFields.writeMessageStart(packer, 18, DISPATCH);
        MessageFields.writeAttempt(packer, m.attempt());
        packer.packLong(m.incarnation().value());
        packer.packLong(m.remainingMillis());
        packer.packString(m.account());
        packer.packInt(m.priority());
        packer.packString(m.targetKind().name());
        packer.packString(m.method());
        packer.packString(m.path());
        MessageFields.writeHeaders(packer, m.headers());
        packer.packString(m.idempotencyKey());
        MessageFields.writeBytes(packer, m.bodyDigest());
        packer.packLong(m.promptTokens());
        packer.packLong(m.maxTokens());
        packer.packLong(m.bodyBytes());
        packer.packLong(m.revision());
    }

    private static void writeBodyChunk(MessagePacker packer, BodyChunk m) throws IOException {
        MessageFields.writeMessageStart(packer, 7, BODY_CHUNK);
        MessageFields.writeAttempt(packer, m.attempt());
        packer.packLong(m.offset());
        MessageFields.writeBytes(packer, m.bytes());
        packer.packBoolean(m.last());
    }

    private static void writeResponseHead(MessagePacker packer, ResponseHead m) throws IOException {
        MessageFields.writeMessageStart(packer, 7, RESPONSE_HEAD);
        MessageFields.writeAttempt(packer, m.attempt());
        packer.packInt(m.status());
        MessageFields.writeHeaders(packer, m.headers());
        packer.packLong(m.queueMicros());
    }

    private static void writeAttemptFailed(MessagePacker packer, AttemptFailed m) throws IOException {
        MessageFields.writeMessageStart(packer, 8, ATTEMPT_FAILED);
        MessageFields.writeAttempt(packer, m.attempt());
        packer.packString(m.kind().name());
        packer.packString(m.message());
        packer.packString(m.outcome().name());
        packer.packLong(m.retryAfterMillis());
    }

    private static void writeCredit(MessagePacker packer, Credit m) throws IOException {
        MessageFields.writeMessageStart(packer, 5, CREDIT);
        MessageFields.writeAttempt(packer, m.attempt());
        packer.packInt(m.bytes());
    }

    private static void writeCancel(MessagePacker packer, Cancel m) throws IOException {
        MessageFields.writeMessageStart(packer, 4, CANCEL);
        MessageFields.writeAttempt(packer, m.attempt());
    }

    private static void writeCancelAck(MessagePacker packer, CancelAck m) throws IOException {
        MessageFields.writeMessageStart(packer, 4, CANCEL_ACK);
        MessageFields.writeAttempt(packer, m.attempt());
    }

    private static void writeRevoke(MessagePacker packer, Revoke m) throws IOException {
        MessageFields.writeMessageStart(packer, 7, REVOKE);
        MessageFields.writeAttempt(packer, m.attempt());
        packer.packString(m.account());
        packer.packString(m.service());
        packer.packString(m.idempotencyKey());
    }

    private static void writeRevokeResult(MessagePacker packer, RevokeResult m) throws IOException {
        MessageFields.writeMessageStart(packer, 5, REVOKE_RESULT);
        MessageFields.writeAttempt(packer, m.attempt());
        packer.packString(m.outcome().name());
    }

    private static void writeResume(MessagePacker packer, Resume m) throws IOException {
        MessageFields.writeMessageStart(packer, 6, RESUME);
        MessageFields.writeAttempt(packer, m.attempt());
        packer.packLong(m.offset());
        packer.packLong(m.written());
    }

    private static void writeLeaving(MessagePacker packer, Leaving m) throws IOException {
        MessageFields.writeMessageStart(packer, 2, LEAVING);
        packer.packLong(m.graceMillis());
    }

    private static void writeConfigOffer(MessagePacker packer, ConfigOffer m) throws IOException {
        MessageFields.writeMessageStart(packer, 2, CONFIG_OFFER);
        packer.packLong(m.revision());
    }

    private static void writeConfigPull(MessagePacker packer, ConfigPull m) throws IOException {
        MessageFields.writeMessageStart(packer, 2, CONFIG_PULL);
        packer.packLong(m.above());
    }

    private static void writeConfigPiece(MessagePacker packer, ConfigPiece m) throws IOException {
        MessageFields.writeMessageStart(packer, 5, CONFIG_PIECE);
        packer.packLong(m.revision());
        packer.packInt(m.index());
        packer.packInt(m.count());
        MessageFields.writeBytes(packer, m.bytes());
    }

    private static void writePing(MessagePacker packer, Ping m) throws IOException {
        MessageFields.writeMessageStart(packer, 2, PING);
        packer.packLong(m.sequence());
    }

    private static void writePong(MessagePacker packer, Pong m) throws IOException {
        MessageFields.writeMessageStart(packer, 2, PONG);
        packer.packLong(m.sequence());
    }
}
