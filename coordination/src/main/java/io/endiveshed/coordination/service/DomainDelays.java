package io.endiveshed.coordination.service;

import io.endiveshed.base.id.FailureDomain;
import java.util.Map;

/**
 * One-way network delays between failure domains.
 *
 * @param millis delay in milliseconds by pair of different domains; a pair counts in both directions
 */
public record DomainDelays(Map<Pair, Double> millis) {
    /** Delays of a service for which none are known. */
    public static final DomainDelays NONE = new DomainDelays(Map.of());

    /** Creates delays from a copy of the map. */
    public DomainDelays {
        millis = Map.copyOf(millis);
    }

    /** Returns the delay between two domains in milliseconds; 0 within a domain and if the delay is unknown. */
    public double between(FailureDomain from, FailureDomain to) {
        if (from.equals(to)) {
            return 0;
        }
        Double forward = millis.get(new Pair(from, to));
        return forward != null ? forward : millis.getOrDefault(new Pair(to, from), 0.0);
    }

    /** A pair of failure domains. */
    public record Pair(FailureDomain from, FailureDomain to) {}
}
