package io.endiveshed.net.link;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Secret that entry daemons and sidecars share; each proves to the other that it knows it. */
public final class LinkSecret {
    /** Shortest secret in characters; shorter ones could be guessed. */
    public static final int MIN_LENGTH = 8;

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    /** Makes a secret from the text in the settings. */
    public LinkSecret(String secret) {
        if (secret.length() < MIN_LENGTH) {
            throw new IllegalArgumentException("link secret must have at least " + MIN_LENGTH + " characters");
        }
        this.key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /**
     * Returns the proof for a nonce.
     *
     * @param role role of the signer, so that a proof cannot be reflected to its sender
     * @param nonce random bytes from the other end
     */
    public byte[] computeProof(String role, byte[] nonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(role.getBytes(StandardCharsets.UTF_8));
            return mac.doFinal(nonce);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HmacSHA256 is part of every Java runtime", e);
        }
    }

    /** Checks a proof in constant time. */
    public boolean isValidProof(String role, byte[] nonce, byte[] proof) {
        return MessageDigest.isEqual(computeProof(role, nonce), proof);
    }
}
