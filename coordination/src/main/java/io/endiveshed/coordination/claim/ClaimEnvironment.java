package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.Incarnation;
import io.endiveshed.ports.platform.ObjectStore;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

/**
 * What a claim log uses from its process.
 *
 * @param store the platform's object API
 * @param timers runs tasks later
 * @param clock wall clock, for key retention
 * @param nanoClock monotonic clock, for durations within the process
 * @param random source of nonces and jitter; safe for use by several threads
 * @param incarnation incarnation of the process
 */
public record ClaimEnvironment(
        ObjectStore store,
        Timers timers,
        EpochClock clock,
        NanoClock nanoClock,
        RandomGenerator random,
        Incarnation incarnation) {}
