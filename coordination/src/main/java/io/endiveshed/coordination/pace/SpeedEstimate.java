package io.endiveshed.coordination.pace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Measured speed of one incarnation of a target: 1 if its answers begin as predicted or as those of the other targets of
 * its service, less if they begin later. Confined to one thread; times are those of a monotonic clock in nanoseconds.
 */
public final class SpeedEstimate {
    /** Lowest speed; a target that is slower does not answer in any useful time. */
    public static final double MIN_SPEED = 0.1;

    /** Speed from which a target counts as fast as predicted; closer predictions are not possible. */
    private static final double FULL_SPEED = 0.67;

    /** Speed below which a single answer is reason for caution; passes that align badly do not explain it. */
    private static final double CLEARLY_SLOW = 0.4;

    /** Time in milliseconds, about one pass of an engine, by which an answer may be later on a target at full speed. */
    private static final double TOLERATED_MILLIS = 50;

    private static final int MAX_SAMPLES = 5;

    /** Samples needed for a target in normal service, where one late answer is more often chance. */
    private static final int MIN_SAMPLES = 3;

    /** Age of a sample after which it does not count; a slow target gets requests again then, and shows its speed. */
    private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final SpeedReference reference;
    private final Deque<Sample> samples = new ArrayDeque<>();

    /** Creates an estimate that compares with the given reference of its service. */
    public SpeedEstimate(SpeedReference reference) {
        this.reference = reference;
    }

    /**
     * Adds an answer.
     *
     * @param predictedMillis predicted time until its first event in milliseconds, at the speed that was assumed
     * @param assumedSpeed speed factor that the prediction used
     * @param actualMillis actual time in milliseconds
     */
    public void add(double predictedMillis, double assumedSpeed, double actualMillis, long nowNanos) {
        double nominalMillis = Math.max(1, predictedMillis * assumedSpeed);
        double sample = nominalMillis / Math.max(nominalMillis, actualMillis - TOLERATED_MILLIS);
        double speed = Math.max(MIN_SPEED, sample);
        reference.add(speed);
        samples.addLast(new Sample(speed, nowNanos));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the speed factor.
     *
     * @param isRecovering whether the target has started or recovered recently, so that one answer is enough evidence
     */
    public double factor(boolean isRecovering, long nowNanos) {
        samples.removeIf(sample -> nowNanos - sample.atNanos > MAX_AGE_NANOS);
        if (samples.size() < (isRecovering ? 1 : MIN_SAMPLES)) {
            return 1;
        }
        double[] speeds = samples.stream().mapToDouble(Sample::speed).sorted().toArray();
        double relative = speeds[speeds.length / 2] / reference.speed();
        return relative >= FULL_SPEED ? 1 : Math.max(MIN_SPEED, relative);
    }

    /** Returns whether the newest answer alone shows that the target is far slower than the others. */
    public boolean isNewestClearlySlow() {
        return !samples.isEmpty() && samples.getLast().speed / reference.speed() < CLEARLY_SLOW;
    }

    private record Sample(double speed, long atNanos) {}
}
