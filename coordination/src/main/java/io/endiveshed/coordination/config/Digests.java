package io.endiveshed.coordination.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;

/** SHA-256 digests of pieces and of whole configurations. */
final class Digests {
    private static final int DIGEST_BYTES = 32;

    private Digests() {}

    static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java runtime", e);
        }
    }

    static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(sha256(bytes));
    }

    /**
     * Returns the digest of a set of records. It is the exclusive or of the digests of all records, so that a change of
     * one record costs two digests and not one of 4 MB. It detects faults, not forgery; links are authenticated.
     */
    static byte[] ofRecords(Map<String, String> records) {
        byte[] sum = none();
        records.forEach((key, line) -> toggle(sum, key, line));
        return sum;
    }

    /** Returns the digest of no records. */
    static byte[] none() {
        return new byte[DIGEST_BYTES];
    }

    /** Adds a record to a digest of records, or removes it. */
    static void toggle(byte[] sum, String key, String line) {
        combine(sum, sha256((key + '\t' + line).getBytes(StandardCharsets.UTF_8)));
    }

    /** Adds a digest of other records to a digest of records. */
    static void combine(byte[] sum, byte[] digest) {
        for (int i = 0; i < sum.length; i++) {
            sum[i] ^= digest[i];
        }
    }
}
