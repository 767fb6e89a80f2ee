package io.endiveshed.protocol;

/** Thrown for a frame that is not a valid message; its text names the fault. */
public final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the given description of the fault and without a stack trace. */
    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
