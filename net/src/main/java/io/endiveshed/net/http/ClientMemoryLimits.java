package io.endiveshed.net.http;

import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Bounds of what clients may make a process hold, in bytes. All kinds together may hold less than the sum of their
 * bounds.
 *
 * @param totalBytes bound of the sum
 * @param connectionBytes bound of {@link ClientMemory.Kind#CONNECTION}
 * @param headerBytes bound of {@link ClientMemory.Kind#HEADERS}
 * @param bodyBytes bound of {@link ClientMemory.Kind#BODY}
 * @param pipelinedBytes bound of {@link ClientMemory.Kind#PIPELINED}
 * @param responseBytes bound of {@link ClientMemory.Kind#RESPONSE}
 */
public record ClientMemoryLimits(
        long totalBytes,
        long connectionBytes,
        long headerBytes,
        long bodyBytes,
        long pipelinedBytes,
        long responseBytes) {
    /** Cost of a connection in bytes: channel, socket, pipeline, codec, timer and this accounting. */
    public static final long CONNECTION_BYTES = 12 * 1024;

    /** Maximum length in bytes of one read of a connection. */
    public static final int READ_BYTES = 16 * 1024;

    /** Cost of a decoded header field in bytes, apart from its characters: entry, name and value with their arrays. */
    public static final long FIELD_BYTES = 170;

    /** Connections that any budget allows, so that a small one serves some callers at the same time. */
    private static final long MIN_CONNECTIONS = 16;

    /** Share of the heap and of direct memory that bodies may take; all kinds together may take twice as much. */
    private static final int HEAP_SHARE_OF_BODIES = 6;

    /** Share of the file descriptors that is left to targets, peers, the store and files. */
    private static final int OTHER_DESCRIPTORS_SHARE = 2;

    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");

    /** Returns bounds that follow from that of the bodies, and from the descriptors of this process. */
    public static ClientMemoryLimits ofBodies(long bodyBytes) {
        return ofBodies(bodyBytes, Descriptors.MAX);
    }

    static ClientMemoryLimits ofBodies(long bodyBytes, long descriptors) {
        long connections = Math.max(
                MIN_CONNECTIONS, Math.min(bodyBytes / 2 / CONNECTION_BYTES, descriptors / OTHER_DESCRIPTORS_SHARE));
        return new ClientMemoryLimits(
                bodyBytes * 2 + MIN_CONNECTIONS * CONNECTION_BYTES,
                connections * CONNECTION_BYTES,
                bodyBytes / 2,
                bodyBytes,
                bodyBytes / 4,
                bodyBytes);
    }

    /** Returns the same bounds with at most the given number of connections. */
    public ClientMemoryLimits withMaxConnections(int count) {
        return new ClientMemoryLimits(
                totalBytes,
                Math.min(connectionBytes, count * CONNECTION_BYTES),
                headerBytes,
                bodyBytes,
                pipelinedBytes,
                responseBytes);
    }

    /** Returns how many bytes of bodies this process can hold, at least one body of the given maximum size. */
    public static long bodyBytesOfProcess(int maxBodyBytes) {
        long memory = Math.min(Runtime.getRuntime().maxMemory(), PlatformDependent.estimateMaxDirectMemory());
        return Math.max(maxBodyBytes, memory / HEAP_SHARE_OF_BODIES);
    }

    /** Returns the bound of one kind. */
    long maxBytes(ClientMemory.Kind kind) {
        return switch (kind) {
            case CONNECTION -> connectionBytes;
            case HEADERS -> headerBytes;
            case BODY -> bodyBytes;
            case PIPELINED -> pipelinedBytes;
            case RESPONSE -> responseBytes;
        };
    }

    /** Maximum number of file descriptors of this process, read once. */
    private static final class Descriptors {
        private static final Pattern LINE = Pattern.compile("Max open files\\s+(\\d+)");
        private static final long MAX = read();

        private static long read() {
            try {
                Matcher line = LINE.matcher(Files.readString(PROCESS_LIMITS));
                return line.find() ? Long.parseLong(line.group(1)) : DEFAULT_DESCRIPTORS;
            } catch (IOException e) {
                return DEFAULT_DESCRIPTORS;
            }
        }
    }
}
