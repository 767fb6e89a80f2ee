package io.endiveshed.base.error;

/** Carries a {@link Failure} where a caller must be unwound, such as out of a parser. */
public final class FailureException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Failure failure;

    /** Wraps the failure; records no stack trace, because the failure itself says what was seen. */
    public FailureException(Failure failure) {
        super(failure.toString(), null, false, false);
        this.failure = failure;
    }

    /** Returns the failure. */
    public Failure failure() {
        return failure;
    }
}
