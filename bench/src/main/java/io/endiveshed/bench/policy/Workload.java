package io.endiveshed.bench.policy;

import io.endiveshed.base.id.ClientAccountId;
import java.util.Random;

/**
 * Requests of about ten client accounts of which three are large: lengths from 500 to 1 M tokens, one in fifty over
 * 100 K, with bursts.
 */
final class Workload {
    /** Accounts in all. */
    static final int ACCOUNTS = 10;

    private static final double[] ACCOUNT_SHARES = {0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05};
    private static final double[] BYTES_PER_TOKEN = {4.2, 3.1, 5.0, 4.0, 2.6, 4.4, 3.8, 4.1, 3.5, 4.7};
    private static final double VERY_LONG_SHARE = 0.02;
    private static final double LONG_SHARE = 0.07;
    private static final double MEDIUM_SHARE = 0.18;
    private static final double PREFIX_SHARE = 0.5;
    private static final long PREFIXES_PER_ACCOUNT = 3;

    private static final long BURST_PERIOD = 20 * Units.SECOND;
    private static final long BURST_LENGTH = 4 * Units.SECOND;
    private static final double BURST_FACTOR = 1.8;
    private static final double QUIET_FACTOR = 0.8;

    private final Random random;

    Workload(Random random) {
        this.random = random;
    }

    /** Returns the mean engine time of the requests that an engine can hold, per request of any length. */
    static double meanWorkNanos(EngineSpec engine) {
        Workload sample = new Workload(new Random(1));
        int count = 200_000;
        double sum = 0;
        for (int i = 0; i < count; i++) {
            SimRequest.Shape shape = sample.next();
            if (shape.promptTokens() + shape.maxTokens() <= engine.kvTokens()) {
                sum += engine.workNanos(shape.promptTokens(), shape.outputTokens());
            }
        }
        return sum / count;
    }

    /** Returns the factor on the mean rate at a time; its mean over a period is 1. */
    static double burst(long nowNanos) {
        return nowNanos % BURST_PERIOD < BURST_LENGTH ? BURST_FACTOR : QUIET_FACTOR;
    }

    SimRequest.Shape next() {
        int account = account();
        long prompt = promptTokens();
        int max = (int) logUniform(20, 400);
        int output = Math.max(1, (int) (max * (0.3 + 0.7 * random.nextDouble())));
        long prefix = Math.min(prompt / 2, 2_000);
        boolean shared = random.nextDouble() < PREFIX_SHARE;
        long key = 1L + account * PREFIXES_PER_ACCOUNT + random.nextLong(PREFIXES_PER_ACCOUNT);
        long bytes = Math.round(prompt * BYTES_PER_TOKEN[account] * (0.9 + 0.2 * random.nextDouble()));
        return new SimRequest.Shape(
                new ClientAccountId("account-" + account),
                prompt,
                bytes,
                output,
                max,
                shared ? key : 0,
                shared ? prefix : 0);
    }

    private int account() {
        double drawn = random.nextDouble();
        int account = 0;
        while (account < ACCOUNTS - 1 && drawn >= ACCOUNT_SHARES[account]) {
            drawn -= ACCOUNT_SHARES[account++];
        }
        return account;
    }

    private long promptTokens() {
        double drawn = random.nextDouble();
        if (drawn < VERY_LONG_SHARE) {
            return logUniform(100_001, 1_000_000);
        }
        if (drawn < VERY_LONG_SHARE + LONG_SHARE) {
            return logUniform(32_769, 100_000);
        }
        if (drawn < VERY_LONG_SHARE + LONG_SHARE + MEDIUM_SHARE) {
            return logUniform(4_097, 32_768);
        }
        return logUniform(500, 4_096);
    }

    private long logUniform(double from, double to) {
        return Math.round(from * Math.exp(random.nextDouble() * Math.log(to / from)));
    }
}
