package io.endiveshed.protocol;

/** Protocol version and limits, the same at both ends of a link. */
public final class ProtocolLimits {
    /** Version of the protocol; both ends of a link must use the same one. */
    public static final int VERSION = 1;

    /** Longest frame in bytes, without its length field. */
    public static final int MAX_FRAME_BYTES = 64 * 1024;

    /** Most bytes of a body in one {@link Message.BodyChunk}; bounds how long a chunk occupies a link. */
    public static final int MAX_CHUNK_BYTES = 16 * 1024;

    /** Most header fields in one message. */
    public static final int MAX_HEADERS = 64;

    /** Response bytes that a sidecar may send before the first {@link Message.Credit}. */
    public static final int INITIAL_RESPONSE_CREDIT_BYTES = 256 * 1024;

    /** Longest request body in bytes that is sent on {@link Lane#SHORT}. */
    public static final int SHORT_LANE_MAX_BODY_BYTES = 32 * 1024;

    private ProtocolLimits() {}
}
