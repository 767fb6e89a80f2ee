package io.endiveshed.standins;

import com.google.gson.JsonArray;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;

/** The bodies of one answer of an OpenAI-compatible engine, to a completion or to a chat completion. */
final class CompletionFormat {
    /** The last event of a stream. */
    static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    /** Reason for the end of all answers: the number of tokens that the request allows. */
    private static final String FINISHED = "length";

    private final String id;
    private final String model;
    private final boolean chat;
    private final long createdSeconds;
    private boolean begun;

    /**
     * Makes the format of one answer.
     *
     * @param id id of the request
     * @param model model that the request names
     * @param chat whether the request is a chat completion
     * @param createdSeconds Unix time of the answer in seconds
     */
    CompletionFormat(String id, String model, boolean chat, long createdSeconds) {
        this.id = id;
        this.model = model;
        this.chat = chat;
        this.createdSeconds = createdSeconds;
    }

    /** Returns the event with the next text of a stream. */
    byte[] event(String text, boolean last) {
        JsonObject choice = choice(last);
        if (chat) {
            JsonObject delta = new JsonObject();
            if (!begun) {
                delta.addProperty("role", "assistant");
            }
            delta.addProperty("content", text);
            choice.add("delta", delta);
        } else {
            choice.addProperty("text", text);
        }
        begun = true;
        JsonObject event = answer(chat ? "chat.completion.chunk" : "text_completion", choice);
        return ("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the body of an answer that is not streamed. */
    byte[] whole(String text, long promptTokens, long outputTokens) {
        JsonObject choice = choice(true);
        if (chat) {
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
        JsonObject answer = answer(chat ? "chat.completion" : "text_completion", choice);
        answer.add("usage", usage);
        return answer.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObject choice(boolean last) {
        JsonObject choice = new JsonObject();
        choice.addProperty("index", 0);
        if (last) {
            choice.addProperty("finish_reason", FINISHED);
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
