package io.endiveshed.protocol.internal;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.protocol.Header;
import io.endiveshed.protocol.MalformedMessageException;
import io.endiveshed.protocol.ProtocolLimits;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads and writes the fields of messages, with every length checked before memory is taken. */
public final class MessageFields {
    private MessageFields() {}

    /** Writes the array header and the message type. */
    public static void writeMessageStart(MessagePacker packer, int elements, int type) throws IOException {
        packer.packArrayHeader(elements);
        packer.packInt(type);
    }

    /** Checks the number of array elements of a message. */
    public static void checkElementCount(int actual, int expected, String name) {
        if (actual != expected) {
            throw new MalformedMessageException(name + " must have " + expected + " elements, but has " + actual);
        }
    }

    /** Writes a byte string. */
    public static void writeBytes(MessagePacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    /** Reads a byte string of at most one frame. */
    public static byte[] readBytes(MessageUnpacker in) throws IOException {
        int length = in.unpackBinaryHeader();
        if (length > ProtocolLimits.MAX_FRAME_BYTES) {
            throw new MalformedMessageException("byte string of " + length + " bytes is longer than a frame");
        }
        return in.readPayload(length);
    }

    /** Reads a string of at most one frame. */
    public static String readString(MessageUnpacker in) throws IOException {
        return in.unpackString();
    }

    /** Writes an attempt as three elements. */
    public static void writeAttempt(MessagePacker packer, AttemptId attempt) throws IOException {
        packer.packLong(attempt.request().high());
        packer.packLong(attempt.request().low());
        packer.packInt(attempt.number());
    }

    /** Reads an attempt. */
    public static AttemptId readAttempt(MessageUnpacker in) throws IOException {
        RequestId request = new RequestId(in.unpackLong(), in.unpackLong());
        return new AttemptId(request, in.unpackInt());
    }

    /** Writes header fields as a flat array of names and values. */
    public static void writeHeaders(MessagePacker packer, List<Header> headers) throws IOException {
        packer.packArrayHeader(headers.size() * 2);
        for (Header header : headers) {
            packer.packString(header.name());
            packer.packString(header.value());
        }
    }

    /** Reads header fields. */
    public static List<Header> readHeaders(MessageUnpacker in) throws IOException {
        int elements = readArraySize(in);
        if (elements % 2 != 0) {
            throw new MalformedMessageException("header fields must be pairs, but there are " + elements + " strings");
        }
        List<Header> headers = new ArrayList<>(elements / 2);
        for (int i = 0; i < elements; i += 2) {
            headers.add(new Header(in.unpackString(), in.unpackString()));
        }
        return headers;
    }

    /** Writes an array of strings. */
    public static void writeStrings(MessagePacker packer, List<String> values) throws IOException {
        packer.packArrayHeader(values.size());
        for (String value : values) {
            packer.packString(value);
        }
    }

    /** Reads an array of strings. */
    public static List<String> readStrings(MessageUnpacker in) throws IOException {
        int elements = readArraySize(in);
        List<String> values = new ArrayList<>(elements);
        for (int i = 0; i < elements; i++) {
            values.add(in.unpackString());
        }
        return values;
    }

    /** Reads the name of an enum value. */
    public static <E extends Enum<E>> E readEnum(MessageUnpacker in, Class<E> type) throws IOException {
        return Enum.valueOf(type, in.unpackString());
    }

    private static int readArraySize(MessageUnpacker in) throws IOException {
        int elements = in.unpackArrayHeader();
        if (elements > ProtocolLimits.MAX_HEADERS * 2) {
            throw new MalformedMessageException(
                    "array of " + elements + " elements exceeds " + ProtocolLimits.MAX_HEADERS * 2);
        }
        return elements;
    }
}
