package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.IdempotencyKey;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.base.id.ServiceName;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Binary form of log entries and snapshots. The service is part of the object's name and not repeated. */
final class ClaimCodec {
    private static final int VERSION = 1;
    private static final int CLAIMED = 1;
    private static final int RELEASED = 2;
    private static final int REVOKED = 3;
    private static final int COMPLETED = 4;

    /** Bytes of an attempt: request id and number. */
    private static final int ATTEMPT_BYTES = 20;

    private final ServiceName service;

    ClaimCodec(ServiceName service) {
        this.service = service;
    }

    /** Part of an encoding that may fail with an exception that never occurs on byte arrays. */
    private interface Encoder {
        void writeTo(DataOutputStream out) throws IOException;
    }

    byte[] encode(LogEntry entry) {
        return bytes(out -> {
            out.writeByte(VERSION);
            out.writeLong(entry.number());
            out.writeLong(entry.writer().value());
            out.writeLong(entry.nonce());
            out.writeLong(entry.timeMillis());
            out.writeLong(entry.limits().retentionMillis());
            out.writeInt(entry.limits().maxKeys());
            out.writeInt(entry.limits().maxTableBytes());
            out.writeInt(entry.records().size());
            for (ClaimRecord record : entry.records()) {
                writeRecord(out, record);
            }
        });
    }

    LogEntry decodeEntry(byte[] value) {
        try (DataInputStream in = open(value)) {
            long number = in.readLong();
            Incarnation writer = new Incarnation(in.readLong());
            long nonce = in.readLong();
            long time = in.readLong();
            KeyLimits limits = new KeyLimits(in.readLong(), in.readInt(), in.readInt());
            int count = in.readInt();
            List<ClaimRecord> records = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                records.add(readRecord(in));
            }
            return new LogEntry(number, writer, nonce, time, limits, records);
        } catch (IOException e) {
            throw new UncheckedIOException("log entry of service " + service + " cannot be decoded", e);
        }
    }

    /** Encodes the key table after an entry. */
    byte[] encode(long covers, KeyTable table) {
        return bytes(out -> {
            out.writeByte(VERSION);
            out.writeLong(covers);
            out.writeLong(table.logTimeMillis());
            out.writeInt(table.claims().size());
            for (var claim : table.claims().entrySet()) {
                writeKey(out, claim.getKey());
                writeClaim(out, claim.getValue());
            }
            out.writeInt(table.fences().size());
            for (var fence : table.fences().entrySet()) {
                writeKey(out, fence.getKey().key());
                writeAttempt(out, fence.getKey().attempt());
                out.writeLong(fence.getValue());
            }
        });
    }

    /** Restores a snapshot into an empty table and returns the number of the last entry that it covers. */
    long decodeInto(byte[] value, KeyTable table) {
        try (DataInputStream in = open(value)) {
            long covers = in.readLong();
            table.restoreTime(in.readLong());
            int claims = in.readInt();
            for (int i = 0; i < claims; i++) {
                table.restore(readKey(in), readClaim(in));
            }
            int fences = in.readInt();
            for (int i = 0; i < fences; i++) {
                table.restore(new KeyTable.Fence(readKey(in), readAttempt(in)), in.readLong());
            }
            return covers;
        } catch (IOException e) {
            throw new UncheckedIOException("snapshot of service " + service + " cannot be decoded", e);
        }
    }

    /** Returns the encoded size of a record in bytes. */
    static int recordBytes(ClaimRecord record) {
        int size = 1 + keyBytes(record.key()) + ATTEMPT_BYTES;
        if (record instanceof ClaimRecord.Claimed claimed) {
            return size + 1 + claimed.digest().length + Long.BYTES;
        }
        if (record instanceof ClaimRecord.Completed completed) {
            return size + answerBytes(completed.response());
        }
        return size;
    }

    static int keyBytes(ClaimKey key) {
        return 4 + key.account().value().length() + key.key().value().length();
    }

    /** Returns the encoded size of a claim without key and answer in bytes. */
    static int claimBytes(KeyTable.Claim claim) {
        return ATTEMPT_BYTES + 2 * Long.BYTES + 2 + claim.digest().length;
    }

    static int fenceBytes(KeyTable.Fence fence) {
        return keyBytes(fence.key()) + ATTEMPT_BYTES + Long.BYTES;
    }

    static int answerBytes(StoredResponse answer) {
        int size = 11 + answer.body().length;
        for (StoredResponse.HeaderField field : answer.headers()) {
            size += 8 + utf8(field.name()).length + utf8(field.value()).length;
        }
        return size;
    }

    private static void writeRecord(DataOutputStream out, ClaimRecord record) throws IOException {
        out.writeByte(type(record));
        writeKey(out, record.key());
        writeAttempt(out, record.attempt());
        if (record instanceof ClaimRecord.Claimed claimed) {
            writeDigest(out, claimed.digest());
            out.writeLong(claimed.holder().value());
        } else if (record instanceof ClaimRecord.Completed completed) {
            writeAnswer(out, completed.response());
        }
    }

    private static int type(ClaimRecord record) {
        if (record instanceof ClaimRecord.Claimed) {
            return CLAIMED;
        }
        if (record instanceof ClaimRecord.Released) {
            return RELEASED;
        }
        return record instanceof ClaimRecord.Revoked ? REVOKED : COMPLETED;
    }

    private ClaimRecord readRecord(DataInputStream in) throws IOException {
        int type = in.readByte();
        ClaimKey key = readKey(in);
        AttemptId attempt = readAttempt(in);
        return switch (type) {
            case CLAIMED -> new ClaimRecord.Claimed(key, attempt, readDigest(in), new Incarnation(in.readLong()));
            case RELEASED -> new ClaimRecord.Released(key, attempt);
            case REVOKED -> new ClaimRecord.Revoked(key, attempt);
            case COMPLETED -> new ClaimRecord.Completed(key, attempt, readAnswer(in));
            default -> throw new IOException("record type " + type);
        };
    }

    private static void writeClaim(DataOutputStream out, KeyTable.Claim claim) throws IOException {
        writeAttempt(out, claim.attempt());
        out.writeLong(claim.holder().value());
        out.writeLong(claim.atMillis());
        writeDigest(out, claim.digest());
        out.writeBoolean(claim.response().isPresent());
        if (claim.response().isPresent()) {
            writeAnswer(out, claim.response().get());
        }
    }

    private static KeyTable.Claim readClaim(DataInputStream in) throws IOException {
        AttemptId attempt = readAttempt(in);
        Incarnation holder = new Incarnation(in.readLong());
        long at = in.readLong();
        KeyTable.Claim claim = new KeyTable.Claim(attempt, holder, readDigest(in), at);
        return in.readBoolean() ? claim.withAnswer(readAnswer(in)) : claim;
    }

    private static void writeKey(DataOutputStream out, ClaimKey key) throws IOException {
        out.writeUTF(key.account().value());
        out.writeUTF(key.key().value());
    }

    private ClaimKey readKey(DataInputStream in) throws IOException {
        return new ClaimKey(new ClientAccountId(in.readUTF()), service, new IdempotencyKey(in.readUTF()));
    }

    private static void writeAttempt(DataOutputStream out, AttemptId attempt) throws IOException {
        out.writeLong(attempt.request().high());
        out.writeLong(attempt.request().low());
        out.writeInt(attempt.number());
    }

    private static AttemptId readAttempt(DataInputStream in) throws IOException {
        return new AttemptId(new RequestId(in.readLong(), in.readLong()), in.readInt());
    }

    private static void writeDigest(DataOutputStream out, byte[] digest) throws IOException {
        out.writeByte(digest.length);
        out.write(digest);
    }

    private static byte[] readDigest(DataInputStream in) throws IOException {
        return readBytes(in, in.readUnsignedByte());
    }

    private static void writeAnswer(DataOutputStream out, StoredResponse answer) throws IOException {
        out.writeShort(answer.status());
        out.writeBoolean(answer.isBodyStored());
        out.writeInt(answer.headers().size());
        for (StoredResponse.HeaderField field : answer.headers()) {
            writeLong(out, utf8(field.name()));
            writeLong(out, utf8(field.value()));
        }
        writeLong(out, answer.body());
    }

    private static StoredResponse readAnswer(DataInputStream in) throws IOException {
        int status = in.readUnsignedShort();
        boolean whole = in.readBoolean();
        int count = in.readInt();
        List<StoredResponse.HeaderField> headers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String name = new String(readBytes(in, in.readInt()), StandardCharsets.UTF_8);
            headers.add(new StoredResponse.HeaderField(
                    name, new String(readBytes(in, in.readInt()), StandardCharsets.UTF_8)));
        }
        return new StoredResponse(status, headers, readBytes(in, in.readInt()), whole);
    }

    private static void writeLong(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] readBytes(DataInputStream in, int length) throws IOException {
        if (length < 0 || length > in.available()) {
            throw new IOException("length " + length + " exceeds the " + in.available() + " bytes left");
        }
        return in.readNBytes(length);
    }

    private static DataInputStream open(byte[] value) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(value));
        int version = in.readByte();
        if (version != VERSION) {
            throw new IOException("format version " + version + " instead of " + VERSION);
        }
        return in;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] bytes(Encoder encoder) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            encoder.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
