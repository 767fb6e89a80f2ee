package io.endiveshed.bench.policy;

import io.endiveshed.base.id.FailureDomain;
import java.util.Random;

/** Delays messages between failure domains. */
final class Network {
    private static final long LOCAL = 300_000;
    private static final long REMOTE = 3 * Units.MILLI;
    private static final long REMOTE_JITTER = 2 * Units.MILLI;

    private final EventLoop loop;
    private final Random random;

    Network(EventLoop loop, Random random) {
        this.loop = loop;
        this.random = random;
    }

    void send(FailureDomain from, FailureDomain to, Runnable message) {
        long delay = from.equals(to) ? LOCAL : REMOTE + (long) (random.nextDouble() * REMOTE_JITTER);
        loop.after(delay, message);
    }
}
