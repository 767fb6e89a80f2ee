package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.TargetId;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Cache of the target on which each prompt prefix was prefilled last. The result is a hint, since the engine may have
 * evicted the prefix. The size is bounded; the least recently used prefix is evicted first. Thread-safe.
 */
public final class PrefixAffinity {
    private final Map<Long, PrefixLocation> locationByPrefix;

    /** Creates an empty cache for at most the given number of prefixes. */
    public PrefixAffinity(int maxPrefixes) {
        this.locationByPrefix = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, PrefixLocation> eldest) {
                return size() > maxPrefixes;
            }
        };
    }

    /** Records that a target has prefilled a prefix of the given length in tokens. */
    public synchronized void recordPrefill(long prefixKey, TargetId target, long tokens) {
        if (prefixKey != RoutingRequest.NO_PREFIX) {
            locationByPrefix.put(prefixKey, new PrefixLocation(target, tokens));
        }
    }

    /** Returns how many tokens of a prefix a target has probably cached; 0 if none. */
    public synchronized long cachedTokens(long prefixKey, TargetId target) {
        PrefixLocation location = prefixKey == RoutingRequest.NO_PREFIX ? null : locationByPrefix.get(prefixKey);
        return location != null && location.target.equals(target) ? location.tokens : 0;
    }

    /** Returns the target that has probably cached a prefix, or null if none is known. */
    synchronized TargetId holder(long prefixKey) {
        PrefixLocation location = prefixKey == RoutingRequest.NO_PREFIX ? null : locationByPrefix.get(prefixKey);
        return location == null ? null : location.target;
    }

    private record PrefixLocation(TargetId target, long tokens) {}
}
