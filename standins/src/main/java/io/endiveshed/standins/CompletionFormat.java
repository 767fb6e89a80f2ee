package io.endiveshed.standins;

import com.google.gson.JsonArray;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;

/**
 * Encoder for one answer of an OpenAI-compatible engine, to a completion or a chat completion. Keeps state between the
 * events of a stream, so each answer needs an encoder of its own.
 */
final class CompletionFormat {
    /** Event that ends a stream. */
    static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    /** Finish reason of every answer: it always has the full number of tokens that the request allows. */
    private static final String FINISH_REASON = "length";

    private final String id;
    private final String model;
    private final boolean isChat;
    private final long createdSeconds;
    private boolean hasBegun;

    /**
     * Creates the encoder of one answer.
     *
     * @param id request id
     * @param model name of the requested model
     * @param isChat whether the request is a chat completion
     * @param createdSeconds Unix time of the answer in seconds
     */
    CompletionFormat(String id, String model, boolean isChat, long createdSeconds) {
        this.id = id;
        this.model = model;
        this.isChat = isChat;
        this.createdSeconds = createdSeconds;
    }

    /** Returns the event that adds a text to a stream. */
    byte[] event(String text, boolean isLast) {
        JsonObject choice = choice(isLast);
        if (isChat) {
            JsonObject delta = new JsonObject();
            if (!hasBegun) {
                delta.addProperty("role", "assistant");
            }
            delta.addProperty("content", text);
            choice.add("delta", delta);
        } else {
            choice.addProperty("text", text);
        }
        hasBegun = true;
        JsonObject event = answer(isChat ? "chat.completion.chunk" : "text_completion", choice);
        return ("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the body of an answer that is not streamed. */
    byte[] body(String text, long promptTokens, long outputTokens) {
        JsonObject choice = choice(true);
        if (isChat) {
            JsonObject message = new JsonObject();
            message.addProperty("role", "assistant");
            message.addProperty("content", text);
            choice.add("message", message);
        } else {
            choice.addProperty("text", text);
        }
        JsonObject usage = new JsonObject();
        usage.addProperty("prompt_tokens", promptTokens);
        usage.addProperty("completion_tokens", outputTokens);
        usage.addProperty("total_tokens", promptTokens + outputTokens);
        JsonObject answer = answer(isChat ? "chat.completion" : "text_completion", choice);
        answer.add("usage", usage);
        return answer.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObject choice(boolean isLast) {
        JsonObject choice = new JsonObject();
        choice.addProperty("index", 0);
        if (isLast) {
            choice.addProperty("finish_reason", FINISH_REASON);
        } else {
            choice.add("finish_reason", JsonNull.INSTANCE);
        }
        return choice;
    }

    private JsonObject answer(String object, JsonObject choice) {
        JsonArray choices = new JsonArray();
        choices.add(choice);
        JsonObject answer = new JsonObject();
        answer.addProperty("id", id);
        answer.addProperty("object", object);
        answer.addProperty("created", createdSeconds);
        answer.addProperty("model", model);
        answer.add("choices", choices);
        return answer;
    }
}
