package io.endiveshed.coordination.config;

import java.util.Map;

/**
 * Decoded piece of a configuration: the unit in which the store holds its records.
 *
 * @param records records by key
 * @param digest digest of the records, which can be combined with the digests of other pieces
 */
record ConfigurationPiece(Map<String, String> records, byte[] digest) {
    /** Decodes a piece; throws a {@link RuntimeException} if the bytes are malformed. */
    static ConfigurationPiece decode(byte[] bytes) {
        Map<String, String> records = ConfigurationRecords.decode(bytes);
        return new ConfigurationPiece(records, Digests.ofRecords(records));
    }
}
