package io.endiveshed.ports.platform;

/**
 * An object as the store holds it.
 *
 * @param key name
 * @param version version of the last write
 * @param value content, at most {@link ObjectStore#MAX_VALUE_BYTES} bytes
 */
public record StoredObject(ObjectKey key, ObjectVersion version, byte[] value) {}
