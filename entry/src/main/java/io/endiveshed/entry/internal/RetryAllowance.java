package io.endiveshed.entry.internal;

/** Strategy that bounds retries, so that a failing fleet is not loaded with repeated work. */
@FunctionalInterface
public interface RetryAllowance {
    /** Takes the right to one retry, or returns false if the budget is used up. */
    boolean take();
}
