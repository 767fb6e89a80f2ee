package io.endiveshed.coordination.service;

/**
 * What the object of a target says of its cold time.
 *
 * @param remainingMillis time in milliseconds for which the target remained cold when it wrote the object
 * @param readNanos time at which the object was read, on the monotonic clock in nanoseconds; not before it was written
 */
public record ColdReading(long remainingMillis, long readNanos) {}
