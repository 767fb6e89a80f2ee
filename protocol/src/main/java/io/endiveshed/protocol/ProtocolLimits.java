package io.endiveshed.protocol;

/** Limits that both ends of a link keep. */
public final class ProtocolLimits {
    /** Version of the message set; both ends of a link must have the same. */
    public static final int VERSION = 1;

    /** Longest frame in bytes, without its length field. */
    public static final int MAX_FRAME_BYTES = 64 * 1024;

    /** Most bytes of a body in one {@link Message.BodyChunk}; bounds how long a chunk occupies a link. */
    public static final int MAX_CHUNK_BYTES = 16 * 1024;

    /** Most header fields in one message. */
    public static final int MAX_HEADERS = 64;

    /** Response bytes that a sidecar may send before the first {@link Message.Credit}. */
    public static final int INITIAL_RESPONSE_CREDIT_BYTES = 256 * 1024;

    /** Bodies up to this many bytes travel on the short lane. */
    public static final int SHORT_LANE_MAX_BODY_BYTES = 32 * 1024;

    private ProtocolLimits() {}
}
