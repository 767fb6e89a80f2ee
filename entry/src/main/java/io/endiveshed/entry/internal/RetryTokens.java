package io.endiveshed.entry.internal;

import java.util.concurrent.atomic.AtomicLong;

/** Allows as many retries as a tenth of recent requests, with a small reserve for quiet times. */
public final class RetryTokens implements RetryAllowance {
    /** Requests that earn one retry. */
    private static final long REQUESTS_PER_RETRY = 10;

    /** Most retries that can be saved up; bounds the burst after a long time without failures. */
    private static final long MAX_SAVED_RETRIES = 100;

    private final AtomicLong saved = new AtomicLong(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);

    /** Counts a request, which earns a part of a retry. */
    public void requested() {
        if (saved.get() < MAX_SAVED_RETRIES * REQUESTS_PER_RETRY) {
            saved.incrementAndGet();
        }
    }

    @Override
    public boolean take() {
        long before = saved.getAndUpdate(value -> value < REQUESTS_PER_RETRY ? value : value - REQUESTS_PER_RETRY);
        return before >= REQUESTS_PER_RETRY;
    }
}
