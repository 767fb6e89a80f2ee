package io.endiveshed.protocol;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.TargetKind;
import java.util.List;

/** A message on a link between an entry daemon and a sidecar. */
public sealed interface Message {
    /**
     * First message on a link, from the entry.
     *
     * @param version {@link ProtocolLimits#VERSION} of the entry
     * @param entryInstance instance id of the entry
     * @param entryIncarnation incarnation of the entry
     * @param nonce random bytes that the sidecar signs
     */
    record Challenge(int version, String entryInstance, Incarnation entryIncarnation, byte[] nonce)
            implements Message {}

    /**
     * Introduction of a sidecar.
     *
     * @param version {@link ProtocolLimits#VERSION} of the sidecar
     * @param instance instance id of the target
     * @param incarnation incarnation of the sidecar
     * @param region region name
     * @param failureDomain failure domain name
     * @param targetKind engine or plain service
     * @param serves names of the models or the service that the target serves
     * @param lane purpose of this link
     * @param kvCapacityTokens KV memory of the engine in tokens; 0 for a plain service
     * @param revision configuration revision in force in the sidecar
     * @param nonce random bytes that the entry signs
     * @param proof HMAC-SHA-256 of the entry's nonce under the shared secret
     */
    record Hello(
            int version,
            String instance,
            Incarnation incarnation,
            String region,
            String failureDomain,
            TargetKind targetKind,
            List<String> serves,
            Lane lane,
            long kvCapacityTokens,
            long revision,
            byte[] nonce,
            byte[] proof)
            implements Message {}

    /**
     * Acceptance of a sidecar.
     *
     * @param revision configuration revision in force in the entry
     * @param proof HMAC-SHA-256 of the sidecar's nonce under the shared secret
     */
    record Welcome(long revision, byte[] proof) implements Message {}

    /**
     * State of a target, sent at a fixed interval and on change.
     *
     * @param sequence grows by one with each report on this link
     * @param running requests that the target works on
     * @param queued requests that wait in the sidecar
     * @param queuedTokens prompt tokens of the waiting requests
     * @param outstandingTokens prompt tokens of waiting and running requests from the receiving entry
     * @param freeKvTokens KV memory that is neither used nor reserved, in tokens
     * @param leaving whether the target takes no new work
     * @param revision configuration revision in force in the sidecar
     */
    record LoadReport(
            long sequence,
            int running,
            int queued,
            long queuedTokens,
            long outstandingTokens,
            long freeKvTokens,
            boolean leaving,
            long revision)
            implements Message {}

    /**
     * Start of a request; the body follows in {@link BodyChunk}s.
     *
     * @param attempt request and attempt
     * @param incarnation incarnation of the sidecar that the request is meant for
     * @param remainingMillis time left until the caller's deadline, in milliseconds
     * @param account client account
     * @param priority 0 is the most urgent
     * @param targetKind engine or plain service
     * @param method HTTP method
     * @param path HTTP path and query at the target
     * @param headers header fields for the target
     * @param idempotencyKey key of a call that may not be repeated, or empty
     * @param bodyDigest SHA-256 of the body, or empty if there is no key
     * @param promptTokens estimated prompt length in tokens; 0 for a plain service
     * @param maxTokens most tokens to generate; 0 for a plain service
     * @param bodyBytes length of the body in bytes
     * @param revision configuration revision in force in the entry
     */
    record Dispatch(
            AttemptId attempt,
            Incarnation incarnation,
            long remainingMillis,
            String account,
            int priority,
            TargetKind targetKind,
            String method,
            String path,
            List<Header> headers,
            String idempotencyKey,
            byte[] bodyDigest,
            long promptTokens,
            long maxTokens,
            long bodyBytes,
            long revision)
            implements Message {}

    /**
     * Part of a request body or of a response body.
     *
     * @param attempt request and attempt
     * @param offset position of the first byte in the whole body
     * @param bytes at most {@link ProtocolLimits#MAX_CHUNK_BYTES} bytes
     * @param last whether the body ends here
     */
    record BodyChunk(AttemptId attempt, long offset, byte[] bytes, boolean last) implements Message {}

    /**
     * Status and header fields of a response.
     *
     * @param attempt request and attempt
     * @param status HTTP status
     * @param headers header fields for the caller
     */
    record ResponseHead(AttemptId attempt, int status, List<Header> headers) implements Message {}

    /**
     * Final failure of an attempt.
     *
     * @param attempt request and attempt
     * @param kind kind of error
     * @param message what was seen
     * @param outcome whether the attempt ran
     * @param retryAfterMillis when to ask again in milliseconds; 0 for no advice
     */
    record AttemptFailed(AttemptId attempt, ErrorKind kind, String message, Outcome outcome, long retryAfterMillis)
            implements Message {}

    /**
     * Permission to send more of a response body, which also acknowledges that the caller has this many bytes more.
     *
     * @param attempt request and attempt
     * @param bytes further bytes that the receiver can take; 0 acknowledges the end of the response or the failure, after
     *     which the sidecar forgets the attempt
     */
    record Credit(AttemptId attempt, int bytes) implements Message {}

    /**
     * Order to stop an attempt; repeated until acknowledged.
     *
     * @param attempt request and attempt
     */
    record Cancel(AttemptId attempt) implements Message {}

    /**
     * Acknowledgement of {@link Cancel}: the attempt holds no memory and will not run.
     *
     * @param attempt request and attempt
     */
    record CancelAck(AttemptId attempt) implements Message {}

    /**
     * Order to make sure that an attempt of a non-repeatable call never runs.
     *
     * @param attempt request and attempt
     * @param account client account
     * @param service plain service
     * @param idempotencyKey key of the call
     */
    record Revoke(AttemptId attempt, String account, String service, String idempotencyKey) implements Message {}

    /**
     * Answer to {@link Revoke}.
     *
     * @param attempt request and attempt
     * @param outcome {@code NOT_RUN} if the attempt is fenced, {@code COMPLETED} if it ran, else {@code UNKNOWN}
     */
    record RevokeResult(AttemptId attempt, Outcome outcome) implements Message {}

    /**
     * Request to continue a response on this link after an earlier link broke.
     *
     * @param attempt request and attempt
     * @param offset response bytes that the entry already has
     * @param written how many of them were written to the caller; replaces the credits that were lost with the link
     */
    record Resume(AttemptId attempt, long offset, long written) implements Message {}

    /**
     * Announcement that the sender takes no new work.
     *
     * @param graceMillis time that running work still has, in milliseconds
     */
    record Leaving(long graceMillis) implements Message {}

    /**
     * Announcement of the configuration revision in force in the sender.
     *
     * @param revision revision
     */
    record ConfigOffer(long revision) implements Message {}

    /**
     * Request for the content of the newest configuration of the receiver.
     *
     * @param above revision that the sender already has
     */
    record ConfigPull(long above) implements Message {}

    /**
     * Part of a configuration.
     *
     * @param revision revision of the configuration
     * @param index position of this part, from 0
     * @param count number of parts
     * @param bytes at most {@link ProtocolLimits#MAX_CHUNK_BYTES} bytes
     */
    record ConfigPiece(long revision, int index, int count, byte[] bytes) implements Message {}

    /**
     * Check that the other end is alive.
     *
     * @param sequence number to return
     */
    record Ping(long sequence) implements Message {}

    /**
     * Answer to {@link Ping}.
     *
     * @param sequence number of the ping
     */
    record Pong(long sequence) implements Message {}
}
