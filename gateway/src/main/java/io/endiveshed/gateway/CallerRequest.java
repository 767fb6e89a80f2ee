package io.endiveshed.gateway;

import io.endiveshed.base.id.PromptPartId;
import io.endiveshed.net.http.HttpRequestData;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decoded request of a caller.
 *
 * @param id id of this attempt of the caller
 * @param host requested host, without port
 * @param apiKey API key of the caller's client account
 * @param timeoutMillis time in milliseconds for which the caller waits
 * @param promptSize size of the prompt, if the request is for a model
 * @param sharedParts parts of the prompt that other prompts may have in common with it, in their order
 * @param lastEventId id of the last event that the caller received of a stream it resumes
 * @param data the HTTP request as received
 */
public record CallerRequest(
        String id,
        String host,
        Optional<String> apiKey,
        OptionalLong timeoutMillis,
        Optional<PromptSize> promptSize,
        List<PromptPartId> sharedParts,
        OptionalLong lastEventId,
        HttpRequestData data) {
    public CallerRequest {
        sharedParts = List.copyOf(sharedParts);
    }

    /**
     * Size of a prompt and of its output, in tokens.
     *
     * @param promptTokens tokens of the prompt
     * @param maxOutputTokens maximum number of output tokens
     * @param expectedOutputTokens estimated number of output tokens, at most the maximum
     */
    public record PromptSize(long promptTokens, long maxOutputTokens, long expectedOutputTokens) {}
}
