package io.endiveshed.coordination.sharing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Digest over the names and versions of the objects of a feed, which does not depend on their order. Two entries with
 * the same digest in the same era of the store hold the same objects.
 *
 * <p>It is the sum of a hash of each object, so that a change costs the same however many objects there are.
 */
public final class ObjectDigest {
    private final Map<String, Long> versionsByName = new HashMap<>();
    private long sum;
    private int unversionedCount;

    /** Removes all objects. */
    public void clear() {
        versionsByName.clear();
        sum = 0;
        unversionedCount = 0;
    }

    /** Adds an object or replaces its version; a version of 0 is not known. */
    public void put(String name, long version) {
        remove(name);
        versionsByName.put(name, version);
        sum += hash(name, version);
        unversionedCount += version > 0 ? 0 : 1;
    }

    /** Removes an object, if it is present. */
    public void remove(String name) {
        Long version = versionsByName.remove(name);
        if (version != null) {
            sum -= hash(name, version);
            unversionedCount -= version > 0 ? 0 : 1;
        }
    }

    /** Returns the version of an object; empty if it is not present. */
    public OptionalLong version(String name) {
        Long version = versionsByName.get(name);
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }

    /** Returns the digest; empty if the version of an object is not known, as its content may then change unnoticed. */
    public OptionalLong value() {
        return unversionedCount == 0 ? OptionalLong.of(sum) : OptionalLong.empty();
    }

    private static long hash(String name, long version) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256")
                    .digest((version + " " + name).getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
