package io.endiveshed.protocol;

/** A frame that is not a valid message. The message says which element was wrong. */
public final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Makes an exception that says what was seen. */
    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
