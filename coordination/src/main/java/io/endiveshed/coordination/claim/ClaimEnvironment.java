package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.time.Scheduler;
import io.endiveshed.ports.platform.ObjectStore;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.EpochClock;

/**
 * Services of the process that a claim log depends on.
 *
 * @param store object store of the platform, which holds the log
 * @param scheduler timers and monotonic clock, for durations within the process
 * @param clock wall clock in milliseconds since the epoch, for the retention of keys
 * @param random source of nonces and jitter; safe for use by several threads
 * @param incarnation incarnation of the process
 */
public record ClaimEnvironment(
        ObjectStore store, Scheduler scheduler, EpochClock clock, RandomGenerator random, Incarnation incarnation) {}
