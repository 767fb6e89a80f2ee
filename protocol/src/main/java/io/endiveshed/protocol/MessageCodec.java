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
import io.endiveshed.protocol.internal.Fields;
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

    private MessageCodec() {}

    /** Encodes a message, without the length field of the frame. */
    public static byte[] encode(Message message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
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
                Fields.expectCount(elements, 5, "Challenge");
                yield new Challenge(
                        in.unpackInt(), Fields.readString(in), new Incarnation(in.unpackLong()), Fields.readBytes(in));
            }
            case HELLO -> {
                Fields.expectCount(elements, 13, "Hello");
                yield new Hello(
                        in.unpackInt(),
                        Fields.readString(in),
                        new Incarnation(in.unpackLong()),
                        Fields.readString(in),
                        Fields.readString(in),
                        Fields.readEnum(in, TargetKind.class),
                        Fields.readStrings(in),
                        Fields.readEnum(in, Lane.class),
                        in.unpackLong(),
                        in.unpackLong(),
                        Fields.readBytes(in),
                        Fields.readBytes(in));
            }
            case WELCOME -> {
                Fields.expectCount(elements, 3, "Welcome");
                yield new Welcome(in.unpackLong(), Fields.readBytes(in));
            }
            case LOAD_REPORT -> {
                Fields.expectCount(elements, 9, "LoadReport");
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
                Fields.expectCount(elements, 18, "Dispatch");
                yield new Dispatch(
                        Fields.readAttempt(in),
                        new Incarnation(in.unpackLong()),
                        in.unpackLong(),
                        Fields.readString(in),
                        in.unpackInt(),
                        Fields.readEnum(in, TargetKind.class),
                        Fields.readString(in),
                        Fields.readString(in),
                        Fields.readHeaders(in),
                        Fields.readString(in),
                        Fields.readBytes(in),
                        in.unpackLong(),
                        in.unpackLong(),
                        in.unpackLong(),
                        in.unpackLong());
            }
            case BODY_CHUNK -> {
                Fields.expectCount(elements, 7, "BodyChunk");
                yield new BodyChunk(Fields.readAttempt(in), in.unpackLong(), Fields.readBytes(in), in.unpackBoolean());
            }
            case RESPONSE_HEAD -> {
                Fields.expectCount(elements, 6, "ResponseHead");
                yield new ResponseHead(Fields.readAttempt(in), in.unpackInt(), Fields.readHeaders(in));
            }
            case ATTEMPT_FAILED -> {
                Fields.expectCount(elements, 8, "AttemptFailed");
                yield new AttemptFailed(
                        Fields.readAttempt(in),
                        Fields.readEnum(in, ErrorKind.class),
                        Fields.readString(in),
                        Fields.readEnum(in, Outcome.class),
                        in.unpackLong());
            }
            case CREDIT -> {
                Fields.expectCount(elements, 5, "Credit");
                yield new Credit(Fields.readAttempt(in), in.unpackInt());
            }
            case CANCEL -> {
                Fields.expectCount(elements, 4, "Cancel");
                yield new Cancel(Fields.readAttempt(in));
            }
            case CANCEL_ACK -> {
                Fields.expectCount(elements, 4, "CancelAck");
                yield new CancelAck(Fields.readAttempt(in));
            }
            case REVOKE -> {
                Fields.expectCount(elements, 7, "Revoke");
                yield new Revoke(
                        Fields.readAttempt(in), Fields.readString(in), Fields.readString(in), Fields.readString(in));
            }
            case REVOKE_RESULT -> {
                Fields.expectCount(elements, 5, "RevokeResult");
                yield new RevokeResult(Fields.readAttempt(in), Fields.readEnum(in, Outcome.class));
            }
            case RESUME -> {
                Fields.expectCount(elements, 6, "Resume");
                yield new Resume(Fields.readAttempt(in), in.unpackLong(), in.unpackLong());
            }
            case LEAVING -> {
                Fields.expectCount(elements, 2, "Leaving");
                yield new Leaving(in.unpackLong());
            }
            case CONFIG_OFFER -> {
                Fields.expectCount(elements, 2, "ConfigOffer");
                yield new ConfigOffer(in.unpackLong());
            }
            case CONFIG_PULL -> {
                Fields.expectCount(elements, 2, "ConfigPull");
                yield new ConfigPull(in.unpackLong());
            }
            case CONFIG_PIECE -> {
                Fields.expectCount(elements, 5, "ConfigPiece");
                yield new ConfigPiece(in.unpackLong(), in.unpackInt(), in.unpackInt(), Fields.readBytes(in));
            }
            case PING -> {
                Fields.expectCount(elements, 2, "Ping");
                yield new Ping(in.unpackLong());
            }
            case PONG -> {
                Fields.expectCount(elements, 2, "Pong");
                yield new Pong(in.unpackLong());
            }
            default -> throw new MalformedMessageException("unknown message type " + type);
        };
    }

    private static void writeChallenge(MessagePacker packer, Challenge m) throws IOException {
        Fields.writeStart(packer, 5, CHALLENGE);
        packer.packInt(m.version());
        packer.packString(m.entryInstance());
        packer.packLong(m.entryIncarnation().value());
        Fields.writeBytes(packer, m.nonce());
    }

    private static void writeHello(MessagePacker packer, Hello m) throws IOException {
        Fields.writeStart(packer, 13, HELLO);
        packer.packInt(m.version());
        packer.packString(m.instance());
        packer.packLong(m.incarnation().value());
        packer.packString(m.region());
        packer.packString(m.failureDomain());
        packer.packString(m.targetKind().name());
        Fields.writeStrings(packer, m.serves());
        packer.packString(m.lane().name());
        packer.packLong(m.kvCapacityTokens());
        packer.packLong(m.revision());
        Fields.writeBytes(packer, m.nonce());
        Fields.writeBytes(packer, m.proof());
    }

    private static void writeWelcome(MessagePacker packer, Welcome m) throws IOException {
        Fields.writeStart(packer, 3, WELCOME);
        packer.packLong(m.revision());
        Fields.writeBytes(packer, m.proof());
    }

    private static void writeLoadReport(MessagePacker packer, LoadReport m) throws IOException {
        Fields.writeStart(packer, 9, LOAD_REPORT);
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
        Fields.writeStart(packer, 18, DISPATCH);
        Fields.writeAttempt(packer, m.attempt());
        packer.packLong(m.incarnation().value());
        packer.packLong(m.remainingMillis());
        packer.packString(m.account());
        packer.packInt(m.priority());
        packer.packString(m.targetKind().name());
        packer.packString(m.method());
        packer.packString(m.path());
        Fields.writeHeaders(packer, m.headers());
        packer.packString(m.idempotencyKey());
        Fields.writeBytes(packer, m.bodyDigest());
        packer.packLong(m.promptTokens());
        packer.packLong(m.maxTokens());
        packer.packLong(m.bodyBytes());
        packer.packLong(m.revision());
    }

    private static void writeBodyChunk(MessagePacker packer, BodyChunk m) throws IOException {
        Fields.writeStart(packer, 7, BODY_CHUNK);
        Fields.writeAttempt(packer, m.attempt());
        packer.packLong(m.offset());
        Fields.writeBytes(packer, m.bytes());
        packer.packBoolean(m.last());
    }

    private static void writeResponseHead(MessagePacker packer, ResponseHead m) throws IOException {
        Fields.writeStart(packer, 6, RESPONSE_HEAD);
        Fields.writeAttempt(packer, m.attempt());
        packer.packInt(m.status());
        Fields.writeHeaders(packer, m.headers());
    }

    private static void writeAttemptFailed(MessagePacker packer, AttemptFailed m) throws IOException {
        Fields.writeStart(packer, 8, ATTEMPT_FAILED);
        Fields.writeAttempt(packer, m.attempt());
        packer.packString(m.kind().name());
        packer.packString(m.message());
        packer.packString(m.outcome().name());
        packer.packLong(m.retryAfterMillis());
    }

    private static void writeCredit(MessagePacker packer, Credit m) throws IOException {
        Fields.writeStart(packer, 5, CREDIT);
        Fields.writeAttempt(packer, m.attempt());
        packer.packInt(m.bytes());
    }

    private static void writeCancel(MessagePacker packer, Cancel m) throws IOException {
        Fields.writeStart(packer, 4, CANCEL);
        Fields.writeAttempt(packer, m.attempt());
    }

    private static void writeCancelAck(MessagePacker packer, CancelAck m) throws IOException {
        Fields.writeStart(packer, 4, CANCEL_ACK);
        Fields.writeAttempt(packer, m.attempt());
    }

    private static void writeRevoke(MessagePacker packer, Revoke m) throws IOException {
        Fields.writeStart(packer, 7, REVOKE);
        Fields.writeAttempt(packer, m.attempt());
        packer.packString(m.account());
        packer.packString(m.service());
        packer.packString(m.idempotencyKey());
    }

    private static void writeRevokeResult(MessagePacker packer, RevokeResult m) throws IOException {
        Fields.writeStart(packer, 5, REVOKE_RESULT);
        Fields.writeAttempt(packer, m.attempt());
        packer.packString(m.outcome().name());
    }

    private static void writeResume(MessagePacker packer, Resume m) throws IOException {
        Fields.writeStart(packer, 6, RESUME);
        Fields.writeAttempt(packer, m.attempt());
        packer.packLong(m.offset());
        packer.packLong(m.written());
    }

    private static void writeLeaving(MessagePacker packer, Leaving m) throws IOException {
        Fields.writeStart(packer, 2, LEAVING);
        packer.packLong(m.graceMillis());
    }

    private static void writeConfigOffer(MessagePacker packer, ConfigOffer m) throws IOException {
        Fields.writeStart(packer, 2, CONFIG_OFFER);
        packer.packLong(m.revision());
    }

    private static void writeConfigPull(MessagePacker packer, ConfigPull m) throws IOException {
        Fields.writeStart(packer, 2, CONFIG_PULL);
        packer.packLong(m.above());
    }

    private static void writeConfigPiece(MessagePacker packer, ConfigPiece m) throws IOException {
        Fields.writeStart(packer, 5, CONFIG_PIECE);
        packer.packLong(m.revision());
        packer.packInt(m.index());
        packer.packInt(m.count());
        Fields.writeBytes(packer, m.bytes());
    }

    private static void writePing(MessagePacker packer, Ping m) throws IOException {
        Fields.writeStart(packer, 2, PING);
        packer.packLong(m.sequence());
    }

    private static void writePong(MessagePacker packer, Pong m) throws IOException {
        Fields.writeStart(packer, 2, PONG);
        packer.packLong(m.sequence());
    }
}
