package io.endiveshed.ports.platform;

/**
 * Object in the store.
 *
 * @param key kind and name
 * @param version version of the object's last write
 * @param value content, at most {@link ObjectStore#MAX_VALUE_BYTES} bytes
 */
public record StoredObject(ObjectKey key, ObjectVersion version, byte[] value) {}
