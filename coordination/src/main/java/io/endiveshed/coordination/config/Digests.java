package io.endiveshed.coordination.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;

/** SHA-256 digests of pieces and of sets of records. */
final class Digests {
    private static final int DIGEST_BYTES = 32;

    private Digests() {}

    static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime lacks SHA-256, which every Java runtime must have", e);
        }
    }

    static String sha256Hex(byte[] bytes) {
        return HexFormat.of().formatHex(sha256(bytes));
    }

    /**
     * Returns the digest of a set of records, which is the exclusive or of the digests of its records. A change of one
     * record therefore costs two digests of a record instead of one of 4 MB. The digest detects faults but not forgery;
     * links are authenticated.
     */
    static byte[] ofRecords(Map<String, String> records) {
        byte[] recordsDigest = ofNoRecords();
        records.forEach((key, line) -> toggleRecord(recordsDigest, key, line));
        return recordsDigest;
    }

    /** Returns the digest of an empty set of records. */
    static byte[] ofNoRecords() {
        return new byte[DIGEST_BYTES];
    }

    /** Updates the digest of a set of records in place after a record has been added or removed. */
    static void toggleRecord(byte[] recordsDigest, String key, String line) {
        combine(recordsDigest, sha256((key + '\t' + line).getBytes(StandardCharsets.UTF_8)));
    }

    /** Updates the digest of a set of records in place after records with the given digest have been added. */
    static void combine(byte[] recordsDigest, byte[] digest) {
        for (int i = 0; i < recordsDigest.length; i++) {
            recordsDigest[i] ^= digest[i];
        }
    }
}
