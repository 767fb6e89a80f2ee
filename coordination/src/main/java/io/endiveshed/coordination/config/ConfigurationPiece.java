package io.endiveshed.coordination.config;

import java.util.Map;

/**
 * A parsed piece of a configuration.
 *
 * @param records records by key
 * @param digest digest of the records, which combines with those of other pieces
 */
record ConfigurationPiece(Map<String, String> records, byte[] digest) {
    /** Parses a piece; throws a {@link RuntimeException} if it is malformed. */
    static ConfigurationPiece parse(byte[] bytes) {
        Map<String, String> records = ConfigurationRecords.parse(bytes);
        return new ConfigurationPiece(records, Digests.ofRecords(records));
    }
}
