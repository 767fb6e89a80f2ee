package io.endiveshed.coordination.membership;

import java.nio.charset.StandardCharsets;

/**
 * Weights for rendezvous hashing (highest random weight), identical in every process. When a node is added or removed,
 * only the keys assigned to that node move.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the weight of a node for a key; the node with the highest weight ranks first. */
    public static long weight(String key, String node) {
        return mix(mix(fnv1a(key)) ^ fnv1a(node));
    }

    private static long fnv1a(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (value & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * Applies the finalizer of SplitMix64, because FNV alone leaves weights of names with a common prefix correlated.
     */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
