package io.endiveshed.coordination.limit;

/**
 * What the operator accepts beyond the rate that a cold target can handle: in any second, all entries together may send
 * {@code rate x overshoot + allowance} requests.
 *
 * @param overshoot factor of the rate
 * @param allowance requests in addition
 */
public record ColdBounds(double overshoot, double allowance) {
    /** Bounds that hold if the operator sets none: the rate itself. */
    public static final ColdBounds DEFAULTS = new ColdBounds(1, 0);

    /** Returns the requests that a cold target may get in any second. */
    double perSecond(double requestsPerSecond) {
        return requestsPerSecond * overshoot + allowance;
    }
}
