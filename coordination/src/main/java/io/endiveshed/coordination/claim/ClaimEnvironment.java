package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.time.Scheduler;
import io.endiveshed.ports.platform.ObjectStore;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.EpochClock;

/**
 * What a claim log uses from its process.
 *
 * @param store the platform's object API
 * @param scheduler timers, and the monotonic clock for durations within the process
 * @param clock wall clock, for key retention
 * @param random source of nonces and jitter; safe for use by several threads
 * @param incarnation incarnation of the process
 */
public record ClaimEnvironment(
        ObjectStore store, Scheduler scheduler, EpochClock clock, RandomGenerator random, Incarnation incarnation) {}
