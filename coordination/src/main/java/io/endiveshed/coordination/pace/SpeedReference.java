package io.endiveshed.coordination.pace;

/**
 * Typical measured speed of the targets of one service, relative to their predictions. In a general overload all answers
 * are late; a target that is as slow as the others then counts as fast. Confined to one thread.
 */
public final class SpeedReference {
    /** Weight of the newest answer; about the last 30 answers of all targets determine the reference. */
    private static final double NEWEST_WEIGHT = 0.03;

    private double speed = 1;

    void add(double sample) {
        speed += NEWEST_WEIGHT * (sample - speed);
    }

    /** Returns the typical speed; 1 if answers begin as predicted. */
    double speed() {
        return speed;
    }
}
