package io.endiveshed.base.id;

/**
 * Id of one attempt to run a request on a target.
 *
 * @param request id of the caller's request
 * @param number number of the attempt; 1 for the first
 */
public record AttemptId(RequestId request, int number) {
    /** Throws {@link IllegalArgumentException} if the number is not positive. */
    public AttemptId {
        if (number < 1) {
            throw new IllegalArgumentException("attempt number must be at least 1, but was " + number);
        }
    }

    /** Parses the text that {@link #toString()} returns; throws {@link IllegalArgumentException} for other text. */
    public static AttemptId parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("attempt must be <request>/<number>, but was \"" + text + "\"");
        }
        return new AttemptId(
                RequestId.parse(text.substring(0, slash)), Integer.parseInt(text, slash + 1, text.length(), 10));
    }

    /** Returns the id of the next attempt to run the same request. */
    public AttemptId next() {
        return new AttemptId(request, number + 1);
    }

    @Override
    public String toString() {
        return request + "/" + number;
    }
}
