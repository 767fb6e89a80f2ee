package io.endiveshed.coordination.claim;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.Incarnation;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;
import java.util.function.ToLongFunction;

/**
 * Claims and blocked attempts of one partition after a prefix of its log. The state depends only on the applied
 * entries, so every reader computes the same effect for a record from its position in the log.
 */
final class ClaimTable {
    /** Retry delay of claims that a full table refuses; keys expire at the rate at which they were claimed. */
    private static final Duration RETRY_DELAY_WHEN_FULL = Duration.ofSeconds(60);

    private final Map<ClaimKey, Claim> claims = new LinkedHashMap<>();
    private final Map<BlockedAttempt, Long> blockedAttempts = new LinkedHashMap<>();
    private long logTimeMillis;
    private ClaimTableLimits limits = ClaimTableLimits.DEFAULT;
    private long encodedBytes;

    /**
     * Claim of a key that is neither released nor removed after its retention.
     *
     * @param attempt attempt that holds the claim
     * @param holder sidecar incarnation that holds the claim
     * @param digest SHA-256 of the request body
     * @param atMillis log time of the claim in milliseconds since the epoch
     * @param response stored response, present once the call has completed
     */
    record Claim(
            AttemptId attempt, Incarnation holder, byte[] digest, long atMillis, Optional<StoredResponse> response) {
        Claim(AttemptId attempt, Incarnation holder, byte[] digest, long atMillis) {
            this(attempt, holder, digest, atMillis, Optional.empty());
        }

        Claim withResponse(StoredResponse value) {
            return new Claim(attempt, holder, digest, atMillis, Optional.of(value));
        }
    }

    /** Attempt that must not claim a key, because it was revoked or released. */
    record BlockedAttempt(ClaimKey key, AttemptId attempt) {}

    /** Applies an entry with the limits of its writer, and returns the effects of its records in order. */
    List<RecordEffect> apply(LogEntry entry) {
        limits = entry.limits();
        advanceLogTime(entry.timeMillis());
        return entry.records().stream().map(this::apply).toList();
    }

    private RecordEffect apply(ClaimRecord record) {
        if (record instanceof ClaimRecord.Claimed claimed) {
            return claim(claimed);
        }
        if (record instanceof ClaimRecord.Revoked revoked) {
            return revoke(revoked);
        }
        if (record instanceof ClaimRecord.Completed completed) {
            complete(completed);
        } else {
            release(record);
        }
        return RecordEffect.Applied.APPLIED;
    }

    /** Returns the decision for a claim if it were the next record, at a log time in milliseconds. */
    ClaimDecision decide(ClaimRecord.Claimed record, long timeMillis, ClaimTableLimits writerLimits) {
        if (blockedAttempts.containsKey(new BlockedAttempt(record.key(), record.attempt()))) {
            return new ClaimDecision.Revoked();
        }
        Optional<Claim> current = findUnexpired(record.key(), timeMillis, writerLimits);
        if (current.isEmpty()) {
            return hasRoom(record, timeMillis, writerLimits) ? new ClaimDecision.Granted() : tableFull();
        }
        Claim claim = current.get();
        if (!Arrays.equals(claim.digest(), record.digest())) {
            return new ClaimDecision.DigestMismatch();
        }
        return claim.response()
                .<ClaimDecision>map(ClaimDecision.Completed::new)
                .orElseGet(() -> new ClaimDecision.Held(claim.attempt(), claim.holder()));
    }

    /** Returns the claim of a key if it has not expired at a log time in milliseconds. */
    Optional<Claim> findUnexpired(ClaimKey key, long timeMillis, ClaimTableLimits readerLimits) {
        return Optional.ofNullable(claims.get(key))
                .filter(claim -> !readerLimits.isExpired(claim.atMillis(), timeMillis));
    }

    long logTimeMillis() {
        return logTimeMillis;
    }

    Map<ClaimKey, Claim> claims() {
        return Collections.unmodifiableMap(claims);
    }

    Map<BlockedAttempt, Long> blockedAttempts() {
        return Collections.unmodifiableMap(blockedAttempts);
    }

    void restoreTime(long timeMillis) {
        logTimeMillis = timeMillis;
    }

    void restore(ClaimKey key, Claim claim) {
        claims.put(key, claim);
        encodedBytes += encodedSize(key, claim);
    }

    void restore(BlockedAttempt blockedAttempt, long atMillis) {
        blockedAttempts.put(blockedAttempt, atMillis);
        encodedBytes += ClaimCodec.blockedAttemptBytes(blockedAttempt);
    }

    private ClaimDecision claim(ClaimRecord.Claimed record) {
        ClaimDecision decision = decide(record, logTimeMillis, limits);
        if (decision instanceof ClaimDecision.Granted) {
            restore(record.key(), new Claim(record.attempt(), record.holder(), record.digest(), logTimeMillis));
        }
        return decision;
    }

    private RevokeOutcome revoke(ClaimRecord.Revoked record) {
        Claim current = claims.get(record.key());
        if (current != null && current.response().isPresent()) {
            return RevokeOutcome.COMPLETED;
        }
        if (current != null && current.attempt().equals(record.attempt())) {
            return RevokeOutcome.UNKNOWN;
        }
        if (!block(record)) {
            return RevokeOutcome.UNKNOWN;
        }
        // Another attempt with the same key may still run, so the outcome of the call is unknown.
        return current == null ? RevokeOutcome.REVOKED : RevokeOutcome.UNKNOWN;
    }

    private void release(ClaimRecord record) {
        Claim current = claims.get(record.key());
        if (current != null
                && current.attempt().equals(record.attempt())
                && current.response().isEmpty()) {
            claims.remove(record.key());
            encodedBytes -= encodedSize(record.key(), current);
            block(record);
        }
    }

    private void complete(ClaimRecord.Completed record) {
        Claim current = claims.get(record.key());
        if (current == null
                || !current.attempt().equals(record.attempt())
                || current.response().isPresent()) {
            return;
        }
        long room = limits.maxTableBytes() - encodedBytes;
        StoredResponse stored = record.response().limitedTo((int) Math.max(0, room));
        claims.put(record.key(), current.withResponse(stored));
        encodedBytes += ClaimCodec.responseBytes(stored);
    }

    /** Blocks an attempt from claiming its key, and returns false if the table has no room to record it. */
    private boolean block(ClaimRecord record) {
        BlockedAttempt blockedAttempt = new BlockedAttempt(record.key(), record.attempt());
        if (blockedAttempts.containsKey(blockedAttempt)) {
            return true;
        }
        if (encodedBytes + ClaimCodec.blockedAttemptBytes(blockedAttempt) > limits.maxTableBytes()) {
            return false;
        }
        restore(blockedAttempt, logTimeMillis);
        return true;
    }

    /** Returns whether a claim fits into the limits, or an expired element will be removed when it is applied. */
    private boolean hasRoom(ClaimRecord.Claimed record, long timeMillis, ClaimTableLimits writerLimits) {
        boolean fits = claims.size() < writerLimits.maxKeys()
                && encodedBytes + ClaimCodec.recordBytes(record) <= writerLimits.maxClaimBytes();
        // Expired keys are removed only when an entry advances the log time, so a full table must still accept a claim.
        return fits || hasExpired(timeMillis, writerLimits);
    }

    /** Returns whether the oldest claim or the oldest blocked attempt has expired at a log time. */
    private boolean hasExpired(long timeMillis, ClaimTableLimits writerLimits) {
        boolean claimExpired = !claims.isEmpty()
                && writerLimits.isExpired(claims.values().iterator().next().atMillis(), timeMillis);
        boolean blockedAttemptExpired = !blockedAttempts.isEmpty()
                && writerLimits.isExpired(blockedAttempts.values().iterator().next(), timeMillis);
        return claimExpired || blockedAttemptExpired;
    }

    private ClaimDecision tableFull() {
        return new ClaimDecision.Unavailable(Failure.of(ErrorKind.OVERLOADED)
                .message("the claim log partition holds " + claims.size() + " keys in " + encodedBytes + " bytes")
                .remedy("ask again after the time in Retry-After; operators: raise the number of claim partitions of"
                        + " the service or shorten its key retention")
                .retryAfter(RETRY_DELAY_WHEN_FULL)
                .build());
    }

    private void advanceLogTime(long timeMillis) {
        logTimeMillis = Math.max(logTimeMillis, timeMillis);
        encodedBytes -= removeExpired(claims, Claim::atMillis, (key, claim) -> encodedSize(key, claim));
        encodedBytes -= removeExpired(
                blockedAttempts, at -> at, (blockedAttempt, at) -> ClaimCodec.blockedAttemptBytes(blockedAttempt));
    }

    /** Encoded size of an element of the table in bytes. */
    private interface EncodedSize<K, V> {
        long of(K key, V value);
    }

    /** Removes the expired elements, which are the first ones of the map, and returns their encoded size in bytes. */
    private <K, V> long removeExpired(Map<K, V> map, ToLongFunction<V> time, EncodedSize<K, V> encodedSize) {
        LongPredicate expired = at -> limits.isExpired(at, logTimeMillis);
        long removed = 0;
        Iterator<Map.Entry<K, V>> oldest = map.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<K, V> next = oldest.next();
            if (!expired.test(time.applyAsLong(next.getValue()))) {
                break;
            }
            removed += encodedSize.of(next.getKey(), next.getValue());
            oldest.remove();
        }
        return removed;
    }

    private static long encodedSize(ClaimKey key, Claim claim) {
        long responseBytes = claim.response().map(ClaimCodec::responseBytes).orElse(0);
        return ClaimCodec.keyBytes(key) + ClaimCodec.claimBytes(claim) + responseBytes;
    }
}
