package io.endiveshed.bench.policy;

/**
 * What happens during a run.
 *
 * @param name name in the tables
 * @param load arriving work as a share of capacity
 * @param reportDelayNanos time by which load reports lag, in nanoseconds
 * @param callersRetry whether callers repeat refused, failed and late requests at once, up to four times
 * @param fault what fails
 */
record Scenario(String name, double load, long reportDelayNanos, boolean callersRetry, Fault fault) {
    /** Faults, all in the middle of the measured time. */
    enum Fault {
        NONE,
        RUNNER_DIES,
        GREY_RUNNER,
        FLAPPING_RUNNER,
        DOMAIN_LOST,
        ENTRY_REPLACED
    }

    private static final long USUAL_DELAY = 200 * Units.MILLI;
    private static final long LATE_DELAY = 5 * Units.SECOND;

    /** All scenarios. */
    static final Scenario[] ALL = {
        at("normal", 0.85, Fault.NONE),
        at("full", 1.0, Fault.NONE),
        at("overload", 1.5, Fault.NONE),
        new Scenario("retry-storm", 1.2, USUAL_DELAY, true, Fault.NONE),
        new Scenario("late-reports", 0.85, LATE_DELAY, false, Fault.NONE),
        at("runner-dies", 0.85, Fault.RUNNER_DIES),
        at("grey-runner", 0.85, Fault.GREY_RUNNER),
        at("flapping-runner", 0.85, Fault.FLAPPING_RUNNER),
        at("domain-lost", 0.85, Fault.DOMAIN_LOST),
        at("entry-replaced", 0.85, Fault.ENTRY_REPLACED),
    };

    static Scenario at(String name, double load, Fault fault) {
        return new Scenario(name, load, USUAL_DELAY, false, fault);
    }

    /** Returns the scenario of a name. */
    static Scenario named(String name) {
        for (Scenario scenario : ALL) {
            if (scenario.name.equals(name)) {
                return scenario;
            }
        }
        throw new IllegalArgumentException("no scenario is named " + name);
    }
}
