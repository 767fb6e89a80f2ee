package io.endiveshed.entry.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.FailureException;
import io.endiveshed.coordination.config.AccountConfig;
import io.endiveshed.coordination.config.Configuration;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Finds the client account of a bearer key.
 *
 * <p>Keys are stored as SHA-256 hashes. The look-up compares hashes of keys, not keys, so its time tells nothing about a
 * key that an attacker could use.
 */
public final class BearerKeys {
    private static final String SCHEME = "Bearer ";

    private BearerKeys() {}

    /** Returns the account; throws {@link FailureException} if the header names no known key. */
    static AccountConfig authenticate(Configuration configuration, String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            throw unauthenticated("the Authorization header is missing or not of the form Bearer <key>");
        }
        return configuration
                .accountByKeyHash(hash(authorization.substring(SCHEME.length())))
                .orElseThrow(() -> unauthenticated("the key is not known"));
    }

    /** Returns the hash under which a key is configured. */
    public static String hash(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java runtime", e);
        }
    }

    private static FailureException unauthenticated(String message) {
        return new FailureException(
                Failure.of(ErrorKind.UNAUTHENTICATED).message(message).build());
    }
}
