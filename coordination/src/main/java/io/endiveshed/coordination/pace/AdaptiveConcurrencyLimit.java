package io.endiveshed.coordination.pace;

/**
 * Number of requests, and amount of prompt work, that a target may have open. It grows as the congestion window of TCP
 * does: by one with each answer on time until the size at which answers were bad before, by one for each round of answers
 * above it. A bad answer halves it, once for each round. Has no clock; confined to one thread.
 */
final class AdaptiveConcurrencyLimit {
    /** Smallest limit; a target that gets nothing could not show that it has recovered. */
    static final double MIN_REQUESTS = 1;

    /**
     * Prompt work in milliseconds of prefill for each request of the limit: a prompt of 20,000 to 30,000 tokens on the
     * engines of the known deployments, so that several short prompts fit and one long prompt closes the limit.
     */
    private static final double PREFILL_MILLIS_PER_REQUEST = 120;

    private final double maxRequests;
    private double requests;
    private double slowStartThreshold;

    /**
     * Creates a limit.
     *
     * @param initialRequests first value
     * @param maxRequests largest value
     * @param isDoubtful whether the limit grows as if answers had been bad at the first value
     */
    AdaptiveConcurrencyLimit(double initialRequests, double maxRequests, boolean isDoubtful) {
        this.maxRequests = Math.max(MIN_REQUESTS, maxRequests);
        this.requests = Math.min(this.maxRequests, Math.max(MIN_REQUESTS, initialRequests));
        this.slowStartThreshold = isDoubtful ? requests : this.maxRequests;
    }

    /** Returns the number of requests that may be open. */
    double requests() {
        return requests;
    }

    /** Returns whether one more request fits. An idle target always gets one, however long its prompt is. */
    boolean allowsOneMore(OpenWork open) {
        return open.requests() == 0
                || (open.requests() + 1 <= requests && open.prefillMillis() < requests * PREFILL_MILLIS_PER_REQUEST);
    }

    /** Grows after an answer on time. */
    void grow() {
        requests = Math.min(maxRequests, requests + (isBelowThreshold() ? 1 : 1 / requests));
    }

    /** Returns whether no answer was bad at the next larger limit. */
    boolean isBelowThreshold() {
        return requests < slowStartThreshold;
    }

    /** Forgets the size at which answers were bad. */
    void forgetBadAnswers() {
        slowStartThreshold = maxRequests;
    }

    /** Falls after a bad answer. */
    void fall() {
        slowStartThreshold = Math.max(MIN_REQUESTS, requests / 2);
        requests = slowStartThreshold;
    }

    /** Returns whether the limit is as high as the target can use. */
    boolean isAtMaximum() {
        return requests >= maxRequests;
    }
}
