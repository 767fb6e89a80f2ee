package io.endiveshed.base.process;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/**
 * Handler of SIGTERM and SIGINT, so that a process can stop cleanly and exit with code 0. A second signal halts the
 * process immediately with {@link #FORCED_EXIT_CODE}.
 *
 * <pre>{@code
 * StopSignal signal = StopSignal.install();
 * daemon.start();
 * signal.await();
 * daemon.stop();
 * }</pre>
 */
public final class StopSignal {
    /** Exit code of a process that a second signal halted before it had stopped. */
    public static final int FORCED_EXIT_CODE = 130;

    private static final Duration STOPPED_POLL_INTERVAL = Duration.ofMillis(200);

    private static final String[] SIGNAL_NAMES = {"TERM", "INT"};

    private final CountDownLatch firstSignal = new CountDownLatch(1);
    private final AtomicBoolean signalReceived = new AtomicBoolean();

    private StopSignal() {}

    /**
     * Installs the handler; without it, the Java runtime ends the process on these signals with a code other than 0.
     */
    public static StopSignal install() {
        StopSignal signal = new StopSignal();
        for (String name : SIGNAL_NAMES) {
            Signals.handle(name, signal::onSignal);
        }
        return signal;
    }

    /** Blocks until the first signal arrives. */
    public void await() throws InterruptedException {
        firstSignal.await();
    }

    /** Blocks until the first signal arrives or the timeout expires; returns whether the signal arrived. */
    public boolean await(Duration timeout) throws InterruptedException {
        return firstSignal.await(timeout.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Blocks until the first signal arrives or the condition holds, for example because the process stopped at closing
     * time.
     */
    public void awaitOrStopped(BooleanSupplier stopped) throws InterruptedException {
        while (!await(STOPPED_POLL_INTERVAL) && !stopped.getAsBoolean()) {
            // Nothing reports a change of the condition, so it is polled.
        }
    }

    private void onSignal() {
        if (signalReceived.getAndSet(true)) {
            Runtime.getRuntime().halt(FORCED_EXIT_CODE);
        }
        firstSignal.countDown();
    }
}
