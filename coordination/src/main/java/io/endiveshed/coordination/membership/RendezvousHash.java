package io.endiveshed.coordination.membership;

import java.nio.charset.StandardCharsets;

/** Hash of two names, equal in every process; ranks the nodes for a key so that a change of nodes moves few keys. */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Returns the weight of a node for a key; the node with the highest weight ranks first. */
    public static long weight(String key, String node) {
        return mix(mix(fnv(key)) ^ fnv(node));
    }

    private static long fnv(String text) {
        long hash = FNV_OFFSET;
        for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (value & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /** Finalizer of SplitMix64; FNV alone leaves the weights of names with a common prefix correlated. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
