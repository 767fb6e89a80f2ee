package io.endiveshed.bench.placement;

/** What entries do about a target that starts or recovers; all but {@link #BEFORE} and {@link #SLOW_START} are trials. */
enum RecoveryPolicy {
    /** Nothing but the back-off of targets that do not respond. */
    BEFORE(false, false, false, false, true),
    /** The slow start and the measured speed of the product. */
    SLOW_START(true, true, true, true, true),
    /** Slow start without the measured speed. */
    LIMIT_ONLY(true, false, true, true, true),
    /** Measured speed without a limit. */
    SPEED_ONLY(false, true, false, false, true),
    /** Slow start in which only the entry's own answers count. */
    OWN_ANSWERS(true, true, false, true, true),
    /** Slow start that limits the entry's own open requests, as a congestion window does. */
    OWN_REQUESTS(true, true, true, false, true),
    /** Slow start that refuses requests if all targets are at their limits. */
    STRICT(true, true, true, true, false);

    final boolean limits;
    final boolean measuresSpeed;
    final boolean learnsFromEndings;
    final boolean countsAllEntries;
    final boolean yields;

    RecoveryPolicy(
            boolean limits,
            boolean measuresSpeed,
            boolean learnsFromEndings,
            boolean countsAllEntries,
            boolean yields) {
        this.limits = limits;
        this.measuresSpeed = measuresSpeed;
        this.learnsFromEndings = learnsFromEndings;
        this.countsAllEntries = countsAllEntries;
        this.yields = yields;
    }
}
