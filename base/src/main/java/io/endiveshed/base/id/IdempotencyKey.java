package io.endiveshed.base.id;

/**
 * Idempotency key, which a caller chooses for a call that must run at most once; unique within one client account and
 * service.
 *
 * @param value 1 to 255 printable ASCII characters without spaces
 */
public record IdempotencyKey(String value) {
    /** Maximum length of a key in characters; it bounds the size of a claim record. */
    public static final int MAX_LENGTH = 255;

    /** Throws {@link IllegalArgumentException} if the value is malformed. */
    public IdempotencyKey {
        if (value == null || value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("idempotency key must have 1 to " + MAX_LENGTH + " characters");
        }
        if (!value.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new IllegalArgumentException("idempotency key must be printable ASCII without spaces");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
