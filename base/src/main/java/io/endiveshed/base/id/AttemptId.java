package io.endiveshed.base.id;

/**
 * One attempt to run a request on a target.
 *
 * @param request the caller's request
 * @param number 1 for the first attempt
 */
public record AttemptId(RequestId request, int number) {
    /** Checks that the number is positive. */
    public AttemptId {
        if (number < 1) {
            throw new IllegalArgumentException("attempt number must be at least 1, but was " + number);
        }
    }

    /** Returns the id of the attempt after this one. */
    public AttemptId next() {
        return new AttemptId(request, number + 1);
    }

    @Override
    public String toString() {
        return request + "/" + number;
    }
}
