package io.endiveshed.base.error;

/** Exception that carries a {@link Failure}, for code that has no other way to return it, such as a nested parser. */
public final class FailureException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Failure failure;

    /** Creates an exception without a stack trace, because the failure's message already describes the error. */
    public FailureException(Failure failure) {
        super(failure.toString(), null, false, false);
        this.failure = failure;
    }

    /** Returns the failure that the exception carries. */
    public Failure failure() {
        return failure;
    }
}
