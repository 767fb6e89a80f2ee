package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.TargetId;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers on which target a prompt prefix was prefilled last. It is a hint: the engine may have evicted the prefix.
 * Bounded in size; the prefix that was used least recently is dropped first. Safe for use by several threads.
 */
public final class PrefixAffinity {
    private final Map<Long, Location> locations;

    /** Makes an empty memory for at most the given number of prefixes. */
    public PrefixAffinity(int maxPrefixes) {
        this.locations = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Location> eldest) {
                return size() > maxPrefixes;
            }
        };
    }

    /** Notes that a target holds a prefix of the given length in tokens. */
    public synchronized void prefilled(long prefixKey, TargetId target, long tokens) {
        if (prefixKey != RoutingRequest.NO_PREFIX) {
            locations.put(prefixKey, new Location(target, tokens));
        }
    }

    /** Returns how many tokens of the prefix a target probably holds. */
    public synchronized long cachedTokens(long prefixKey, TargetId target) {
        Location location = prefixKey == RoutingRequest.NO_PREFIX ? null : locations.get(prefixKey);
        return location != null && location.target.equals(target) ? location.tokens : 0;
    }

    /** Returns the target that probably holds a prefix, or null. */
    synchronized TargetId target(long prefixKey) {
        Location location = prefixKey == RoutingRequest.NO_PREFIX ? null : locations.get(prefixKey);
        return location == null ? null : location.target;
    }

    private record Location(TargetId target, long tokens) {}
}
