package io.endiveshed.entry.internal;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.FailureException;
import java.io.ByteArrayInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * The fields of a completion request that the entry needs.
 *
 * @param model model that the caller asks for
 * @param maxTokens most tokens to generate
 * @param streaming whether the caller asked for an event stream
 * @param estimatedPromptTokens prompt length in tokens, estimated from the length of the body
 */
record CompletionBody(String model, long maxTokens, boolean streaming, long estimatedPromptTokens) {
    /** Bytes of text per token of the languages and models served, until engines report their own counts. */
    static final int BYTES_PER_TOKEN = 4;

    /** Tokens generated for a request that names no limit. */
    static final long DEFAULT_MAX_TOKENS = 256;

    /** Largest limit that a request may name; ten times the longest prompt, and sums of it cannot overflow. */
    static final long LARGEST_MAX_TOKENS = 10_000_000;

    /** Parses and checks a body; throws {@link FailureException} that says what is wrong. */
    static CompletionBody parse(byte[] body) {
        try (JsonReader reader = reader(body)) {
            return read(reader, body.length);
        } catch (CharacterCodingException e) {
            throw invalid("the body is not valid UTF-8");
        } catch (MalformedJsonException | EOFException | IllegalStateException | NumberFormatException e) {
            throw invalid("the body is not a valid completion request: " + e.getMessage());
        } catch (IOException e) {
            throw invalid("the body cannot be read: " + e.getMessage());
        }
    }

    private static JsonReader reader(byte[] body) {
        return new JsonReader(new InputStreamReader(
                new ByteArrayInputStream(body),
                StandardCharsets.UTF_8
                        .newDecoder()
                        .onMalformedInput(CodingErrorAction.REPORT)
                        .onUnmappableCharacter(CodingErrorAction.REPORT)));
    }

    private static CompletionBody read(JsonReader reader, int bodyBytes) throws IOException {
        String model = null;
        long maxTokens = DEFAULT_MAX_TOKENS;
        boolean streaming = false;
        reader.beginObject();
        while (reader.hasNext()) {
            switch (reader.nextName()) {
                case "model" -> model = reader.nextString();
                case "max_tokens", "max_completion_tokens" -> maxTokens = reader.nextLong();
                case "stream" -> streaming = reader.nextBoolean();
                default -> reader.skipValue();
            }
        }
        reader.endObject();
        if (reader.peek() != JsonToken.END_DOCUMENT) {
            throw invalid("there is text after the end of the JSON object");
        }
        if (model == null) {
            throw invalid("the field \"model\" is missing");
        }
        if (maxTokens < 1 || maxTokens > LARGEST_MAX_TOKENS) {
            throw invalid("\"max_tokens\" must be 1 to " + LARGEST_MAX_TOKENS + ", but was " + maxTokens);
        }
        return new CompletionBody(model, maxTokens, streaming, Math.max(1, bodyBytes / BYTES_PER_TOKEN));
    }

    private static FailureException invalid(String message) {
        return new FailureException(
                Failure.of(ErrorKind.INVALID_REQUEST).message(message).build());
    }
}
