package io.endiveshed.net.platform;

import java.util.Locale;

/** Purposes of calls to the store, in decreasing order of urgency. */
public enum StoreUse {
    /** Claims of non-idempotent calls; a caller waits for the result. */
    CLAIMS(0.0),
    /** Leases; a lease is lost if it is not renewed in time. */
    LEASES(0.2),
    /** The configuration. */
    CONFIGURATION(0.4),
    /** The list of instances. */
    INSTANCES(0.5),
    /** Status that operators read. */
    STATUS(0.6);

    private final double reservedShare;

    StoreUse(double reservedShare) {
        this.reservedShare = reservedShare;
    }

    /** Returns the share of the burst, from 0 to 1, that calls of this purpose leave to more urgent ones. */
    public double reservedShare() {
        return reservedShare;
    }

    /** Returns the name of this purpose in metrics. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
