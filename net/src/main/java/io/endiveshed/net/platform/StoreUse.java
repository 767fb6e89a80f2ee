package io.endiveshed.net.platform;

import java.util.Locale;

/** What a process uses the store for, the most urgent first. */
public enum StoreUse {
    /** Claims of non-idempotent calls: a caller waits. */
    CLAIMS(0.0),
    /** Leases, which are lost if they are not renewed in time. */
    LEASES(0.2),
    /** The configuration. */
    CONFIGURATION(0.4),
    /** The list of instances. */
    INSTANCES(0.5),
    /** Status for operators. */
    STATUS(0.6);

    private final double reserve;

    StoreUse(double reserve) {
        this.reserve = reserve;
    }

    /** Returns the share of the burst that this use leaves to more urgent ones. */
    public double reserve() {
        return reserve;
    }

    /** Returns the name in metrics. */
    public String metric() {
        return name().toLowerCase(Locale.ROOT);
    }
}
