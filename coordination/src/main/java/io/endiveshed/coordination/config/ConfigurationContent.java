package io.endiveshed.coordination.config;

import io.endiveshed.base.id.Revision;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Collections;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The canonical records of a configuration, from which pieces in the store and messages to peers are made. Equal
 * configurations have equal content.
 */
public final class ConfigurationContent {
    /** The content of {@link Configuration#NONE}. */
    public static final ConfigurationContent EMPTY = of(Configuration.NONE);

    /**
     * Records in one piece, on average. A change of one record makes every entry read one piece (16 KB) and the head
     * (65 bytes per piece); at 17,000 client accounts this number balances the two.
     */
    private static final int RECORDS_PER_PIECE = 64;

    private final SortedMap<String, String> records;
    private final byte[] digest;

    private ConfigurationContent(SortedMap<String, String> records, byte[] digest) {
        this.records = Collections.unmodifiableSortedMap(records);
        this.digest = digest;
    }

    /** Makes the content of a configuration. */
    public static ConfigurationContent of(Configuration configuration) {
        SortedMap<String, String> records = ConfigurationRecords.of(configuration);
        return new ConfigurationContent(records, Digests.ofRecords(records));
    }

    /** Joins pieces; throws a {@link RuntimeException} if one is malformed. */
    public static ConfigurationContent ofPieces(Collection<byte[]> pieces) {
        return join(pieces.stream().map(ConfigurationPiece::parse).toList());
    }

    /** Joins pieces that were parsed before; an unchanged piece costs neither parsing nor digests again. */
    static ConfigurationContent join(Collection<ConfigurationPiece> pieces) {
        SortedMap<String, String> records = new TreeMap<>();
        byte[] sum = Digests.none();
        pieces.forEach(piece -> {
            records.putAll(piece.records());
            Digests.combine(sum, piece.digest());
        });
        return new ConfigurationContent(records, sum);
    }

    /** Returns the configuration; throws a {@link RuntimeException} if a record is malformed. */
    public Configuration toConfiguration(Revision revision) {
        return ConfigurationRecords.read(revision, records, Map.of(), Configuration.NONE);
    }

    /**
     * Returns the configuration and takes the records that did not change from an earlier one, because parsing 17,000
     * client accounts for each change takes a third of a second.
     */
    Configuration toConfiguration(Revision revision, ConfigurationContent earlier, Configuration earlierConfiguration) {
        return ConfigurationRecords.read(revision, records, earlier.records, earlierConfiguration);
    }

    /** Returns the digest in hexadecimal digits. */
    public String digest() {
        return HexFormat.of().formatHex(digest);
    }

    /**
     * Returns the pieces by name, which is the SHA-256 of the content in hexadecimal digits. A record stays in its piece
     * while the number of records stays within a power of two, so that a small change makes few new pieces.
     */
    public Map<String, byte[]> pieces() {
        int buckets = Integer.highestOneBit(Math.max(1, records.size() / RECORDS_PER_PIECE));
        Map<Integer, SortedMap<String, String>> byBucket = new TreeMap<>();
        records.forEach((key, line) -> byBucket.computeIfAbsent(bucket(key, buckets), ignored -> new TreeMap<>())
                .put(key, line));
        Map<String, byte[]> pieces = new LinkedHashMap<>();
        byBucket.values().forEach(bucket -> {
            byte[] bytes = ConfigurationRecords.write(bucket);
            pieces.put(Digests.hex(bytes), bytes);
        });
        return pieces;
    }

    /** Returns the change that leads from another content to this one. */
    ConfigurationDelta since(ConfigurationContent base) {
        Map<String, String> changed = new TreeMap<>();
        records.forEach((key, line) -> {
            if (!line.equals(base.records.get(key))) {
                changed.put(key, line);
            }
        });
        Collection<String> removed = base.records.keySet().stream()
                .filter(key -> !records.containsKey(key))
                .toList();
        return new ConfigurationDelta(base.digest(), digest(), changed, removed);
    }

    /** Applies a change; the digests of the change tell whether the result is right. */
    ConfigurationContent apply(ConfigurationDelta delta) {
        SortedMap<String, String> result = new TreeMap<>(records);
        byte[] sum = digest.clone();
        delta.removed().forEach(key -> toggleIfPresent(sum, key, result.remove(key)));
        delta.changed().forEach((key, line) -> {
            toggleIfPresent(sum, key, result.put(key, line));
            Digests.toggle(sum, key, line);
        });
        return new ConfigurationContent(result, sum);
    }

    private static void toggleIfPresent(byte[] sum, String key, String line) {
        if (line != null) {
            Digests.toggle(sum, key, line);
        }
    }

    private static int bucket(String key, int buckets) {
        byte[] digest = Digests.sha256(key.getBytes(StandardCharsets.UTF_8));
        return ((digest[0] & 0xff) << 8 | (digest[1] & 0xff)) & (buckets - 1);
    }
}
