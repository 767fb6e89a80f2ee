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
     * @param nonce random bytes that the sidecar must authenticate in {@link Hello}
     */
    record Challenge(int version, String entryInstance, Incarnation entryIncarnation, byte[] nonce)
            implements Message {}

    /**
     * Identification of a sidecar, in reply to {@link Challenge}.
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
     * @param nonce random bytes that the entry must authenticate in {@link Welcome}
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
     * Acceptance of a sidecar, in reply to {@link Hello}.
     *
     * @param revision configuration revision in force in the entry
     * @param proof HMAC-SHA-256 of the sidecar's nonce under the shared secret
     */
    record Welcome(long revision, byte[] proof) implements Message {}

    /**
     * Load of a target, sent at a fixed interval and on change.
     *
     * @param sequence number of the report; increases by one with each report on this link
     * @param running number of requests that run on the target
     * @param queued number of requests that wait in the sidecar
     * @param queuedTokens prompt tokens of the requests that wait in the sidecar
     * @param outstandingTokens prompt tokens of waiting and running requests from the receiving entry
     * @param freeKvTokens KV memory that is neither used nor reserved, in tokens
     * @param leaving whether the target accepts no new requests
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
     * Start of an attempt; the request body follows in {@link BodyChunk}s.
     *
     * @param attempt id of the request and number of its attempt
     * @param incarnation incarnation of the sidecar to which the request is addressed
     * @param remainingMillis time left until the caller's deadline, in milliseconds
     * @param account client account
     * @param priority priority; 0 is the most urgent
     * @param targetKind engine or plain service
     * @param method HTTP method
     * @param path HTTP path and query at the target
     * @param headers header fields for the target
     * @param idempotencyKey idempotency key of a call that may not be repeated, or empty
     * @param bodyDigest SHA-256 of the body, or empty if there is no key
     * @param promptTokens estimated prompt length in tokens; 0 for a plain service
     * @param maxTokens largest number of tokens to generate; 0 for a plain service
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
     * @param attempt id of the request and number of its attempt
     * @param offset position of the first byte in the whole body
     * @param bytes at most {@link ProtocolLimits#MAX_CHUNK_BYTES} bytes
     * @param last whether this is the last chunk of the body
     */
    record BodyChunk(AttemptId attempt, long offset, byte[] bytes, boolean last) implements Message {}

    /**
     * Status and header fields of a response.
     *
     * @param attempt id of the request and number of its attempt
     * @param status HTTP status
     * @param headers header fields for the caller
     * @param queueMicros time that the attempt waited in the sidecar, in microseconds
     */
    record ResponseHead(AttemptId attempt, int status, List<Header> headers, long queueMicros) implements Message {}

    /**
     * Final failure of an attempt.
     *
     * @param attempt id of the request and number of its attempt
     * @param kind kind of error
     * @param message description of the error
     * @param outcome whether the attempt ran
     * @param retryAfterMillis recommended delay before a retry in milliseconds; 0 for none
     */
    record AttemptFailed(AttemptId attempt, ErrorKind kind, String message, Outcome outcome, long retryAfterMillis)
            implements Message {}

    /**
     * Permission to send more of a response body; it also acknowledges that as many bytes were written to the caller.
     *
     * @param attempt id of the request and number of its attempt
     * @param bytes further bytes that the sidecar may send; 0 acknowledges the end of the response or the failure,
     *     after which the sidecar discards the attempt
     */
    record Credit(AttemptId attempt, int bytes) implements Message {}

    /**
     * Request to stop an attempt; repeated until acknowledged.
     *
     * @param attempt id of the request and number of its attempt
     */
    record Cancel(AttemptId attempt) implements Message {}

    /**
     * Acknowledgement of {@link Cancel}: the attempt holds no engine memory and will not run.
     *
     * @param attempt id of the request and number of its attempt
     */
    record CancelAck(AttemptId attempt) implements Message {}

    /**
     * Request to fence an attempt of a non-idempotent call, so that it never runs.
     *
     * @param attempt id of the request and number of its attempt
     * @param account client account
     * @param service name of the plain service
     * @param idempotencyKey idempotency key of the call
     */
    record Revoke(AttemptId attempt, String account, String service, String idempotencyKey) implements Message {}

    /**
     * Reply to {@link Revoke}.
     *
     * @param attempt id of the request and number of its attempt
     * @param outcome {@code NOT_RUN} if the attempt is fenced, {@code COMPLETED} if it ran, else {@code UNKNOWN}
     */
    record RevokeResult(AttemptId attempt, Outcome outcome) implements Message {}

    /**
     * Request to continue a response on this link after an earlier link was lost.
     *
     * @param attempt id of the request and number of its attempt
     * @param offset number of response bytes that the entry has received
     * @param written number of response bytes written to the caller; replaces the credits that were lost with the link
     */
    record Resume(AttemptId attempt, long offset, long written) implements Message {}

    /**
     * Announcement that the sender leaves and takes part in no new requests.
     *
     * @param graceMillis time for running requests to finish, in milliseconds
     */
    record Leaving(long graceMillis) implements Message {}

    /**
     * Announcement of the configuration revision in force in the sender.
     *
     * @param revision revision
     */
    record ConfigOffer(long revision) implements Message {}

    /**
     * Request for the newest configuration of the receiver.
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
     * Liveness check of the other end of the link.
     *
     * @param sequence number that the reply repeats
     */
    record Ping(long sequence) implements Message {}

    /**
     * Reply to {@link Ping}.
     *
     * @param sequence number of the ping
     */
    record Pong(long sequence) implements Message {}
}
