package io.endiveshed.coordination.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;

/** SHA-256 digests of pieces and of whole configurations. */
final class Digests {
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
        byte[] sum = new byte[32];
        records.forEach((key, line) -> toggle(sum, key, line));
        return sum;
    }

    /** Adds a record to a digest of records, or removes it. */
    static void toggle(byte[] sum, String key, String line) {
        byte[] digest = sha256((key + '\t' + line).getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < sum.length; i++) {
            sum[i] ^= digest[i];
        }
    }
}
