package io.endiveshed.coordination.service;

import io.endiveshed.base.id.FailureDomain;
import java.util.Map;

/**
 * One-way delays between failure domains.
 *
 * @param millis delay in milliseconds of each pair of different domains, in either order
 */
public record DomainDelays(Map<Pair, Double> millis) {
    /** No delays are known. */
    public static final DomainDelays NONE = new DomainDelays(Map.of());

    /** Copies the map. */
    public DomainDelays {
        millis = Map.copyOf(millis);
    }

    /** Returns the delay in milliseconds; 0 within a domain and where none is known. */
    public double between(FailureDomain from, FailureDomain to) {
        if (from.equals(to)) {
            return 0;
        }
        Double forward = millis.get(new Pair(from, to));
        return forward != null ? forward : millis.getOrDefault(new Pair(to, from), 0.0);
    }

    /** Two failure domains. */
    public record Pair(FailureDomain from, FailureDomain to) {}
}
