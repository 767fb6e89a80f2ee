package io.endiveshed.gateway;

import io.endiveshed.net.http.HttpRequestData;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request of a caller, decoded.
 *
 * @param id id of this attempt of the caller
 * @param host host that the caller asked for, without port
 * @param key key of the caller's client account
 * @param deadlineMillis time in milliseconds for which the caller waits
 * @param prompt size of the prompt, if it is a request to a model
 * @param lastEventId last event of a stream that the caller has and wants continued
 * @param data the request as it came
 */
public record CallerRequest(
        String id,
        String host,
        Optional<String> key,
        OptionalLong deadlineMillis,
        Optional<PromptSize> prompt,
        OptionalLong lastEventId,
        HttpRequestData data) {
    /**
     * Size of a prompt and its answer.
     *
     * @param promptTokens tokens to read
     * @param maxOutputTokens most tokens to write
     * @param expectedOutputTokens estimate of the tokens to write, at most the maximum
     */
    public record PromptSize(long promptTokens, long maxOutputTokens, long expectedOutputTokens) {}
}
