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

    /** Parses the text that {@link #toString()} writes; throws {@link IllegalArgumentException} for any other. */
    public static AttemptId parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("attempt must be <request>/<number>, but was \"" + text + "\"");
        }
        return new AttemptId(
                RequestId.parse(text.substring(0, slash)), Integer.parseInt(text, slash + 1, text.length(), 10));
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
