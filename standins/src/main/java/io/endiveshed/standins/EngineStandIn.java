package io.endiveshed.standins;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.endiveshed.coordination.cost.CostModel;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.HttpServer;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Model engine whose answer is derived from the prompt, so that a test detects an answer to another request.
 *
 * <p>{@code GET /v1/requests} lists the running requests, {@code DELETE /v1/requests/{id}} stops a request, and
 * {@code GET /load} reports the load.
 *
 * <p>The answer consists of the first 16 hexadecimal digits of the SHA-256 hash of the prompt text, followed by numbered
 * words.
 */
public final class EngineStandIn {
    /**
     * Cost coefficients for predictions: an upper bound of the time that a stand-in without delay needs. A real engine
     * needs far longer.
     */
    public static final CostModel.Coefficients COST = new CostModel.Coefficients(40, 0, 500);

    /** Suffix of the path of chat completions. */
    private static final String CHAT_PATH_SUFFIX = "/chat/completions";

    private static final String REQUESTS = "/v1/requests";
    private static final long KV_CAPACITY_TOKENS = 4_000_000;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;
    private static final Header JSON = new Header("content-type", "application/json");
    private static final Header EVENT_STREAM = new Header("content-type", "text/event-stream");

    private final HttpServer server;
    private final Duration timePerToken;
    private final EventLoopGroup loops;
    private final Map<String, Generation> running = new ConcurrentHashMap<>();
    private final AtomicLong unnamedRequests = new AtomicLong();
    private final AtomicLong streamedTokens = new AtomicLong();
    private volatile boolean ignoresDisconnects;
    private volatile Consumer<String> promptListener = prompt -> {};

    /** Creates an engine that takes the given time for each generated token and listens after {@link #start}. */
    public EngineStandIn(EventLoopGroup loops, InetSocketAddress address, Duration timePerToken) {
        this.loops = loops;
        this.timePerToken = timePerToken;
        HttpServerLimits limits =
                new HttpServerLimits(16 * 1024, MAX_BODY_BYTES, Duration.ofSeconds(30), Duration.ofSeconds(30));
        this.server = new HttpServer(loops, address, limits, this::handle);
    }

    /** Binds the address and starts listening. */
    public void start() {
        server.start();
    }

    /** Returns the port that the engine listens on. */
    public int port() {
        return server.port();
    }

    /** Returns the number of running requests, each of which holds KV cache memory. */
    public int runningRequests() {
        return running.size();
    }

    /** Returns the number of tokens that were written to streamed responses so far. */
    public long streamedTokens() {
        return streamedTokens.get();
    }

    /** Makes the engine continue requests whose connection has closed, as some engines do. */
    public void ignoreDisconnects() {
        ignoresDisconnects = true;
    }

    /** Sets a listener that is called on an event loop with each prompt before its generation starts. */
    public void setPromptListener(Consumer<String> listener) {
        promptListener = listener;
    }

    /** Aborts the response to every running request without an end marker, as a crash does. */
    public void abortAnswers() {
        running.values().forEach(Generation::stop);
    }

    /** Simulates a crash: closes all connections, so that responses are truncated, and refuses new connections. */
    public void crash() {
        server.stop();
        server.closeConnections();
        running.clear();
    }

    /** Stops listening for connections. */
    public void stop() {
        server.stop();
    }

    /** Returns the words of the answer to a prompt, joined by spaces; each word counts as a token. */
    public static String answer(String prompt, int tokens) {
        StringBuilder words = new StringBuilder(promptHash(prompt));
        for (int i = 1; i < tokens; i++) {
            words.append(' ').append(i);
        }
        return words.toString();
    }

    private void handle(HttpRequestData request, ResponseSink response) {
        String path = request.path();
        if (path.equals("/load")) {
            respondJson(response, loadReport());
        } else if (path.equals(REQUESTS)) {
            respondJson(response, requestList());
        } else if (path.startsWith(REQUESTS + "/")) {
            Generation stopped = running.get(path.substring(REQUESTS.length() + 1));
            if (stopped != null) {
                stopped.stop();
            }
            respondJson(response, new JsonObject());
        } else {
            generate(request, response);
        }
    }

    private JsonObject loadReport() {
        JsonObject load = new JsonObject();
        load.addProperty("running", running.size());
        load.addProperty("waiting", 0);
        load.addProperty(
                "used_kv_tokens",
                running.values().stream().mapToLong(Generation::kvTokens).sum());
        load.addProperty("capacity_kv_tokens", KV_CAPACITY_TOKENS);
        return load;
    }

    private JsonObject requestList() {
        JsonArray ids = new JsonArray();
        running.keySet().forEach(ids::add);
        JsonObject list = new JsonObject();
        list.add("requests", ids);
        return list;
    }

    private static void respondJson(ResponseSink response, JsonObject body) {
        response.respond(200, List.of(JSON), body.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void generate(HttpRequestData request, ResponseSink response) {
        JsonObject body = JsonParser.parseString(new String(request.body(), StandardCharsets.UTF_8))
                .getAsJsonObject();
        String prompt = promptText(body);
        promptListener.accept(prompt);
        int tokens = body.has("max_tokens") ? body.get("max_tokens").getAsInt() : 16;
        boolean isStreaming = body.has("stream") && body.get("stream").getAsBoolean();
        String requestId = request.headers().get("x-request-id");
        String id = requestId == null ? "unnamed-" + unnamedRequests.incrementAndGet() : requestId;
        String model = body.has("model") ? body.get("model").getAsString() : "unnamed";
        CompletionFormat format = new CompletionFormat(
                id,
                model,
                request.path().endsWith(CHAT_PATH_SUFFIX),
                Instant.now().getEpochSecond());
        Generation generation = new Generation(
                id, response, format, prompt, answer(prompt, tokens).split(" "), isStreaming);
        running.put(id, generation);
        response.onDisconnect(() -> {
            if (!ignoresDisconnects) {
                generation.cancel();
            }
        });
        generation.start();
    }

    private static String promptText(JsonObject body) {
        return body.has("prompt") ? body.get("prompt").getAsString() : String.valueOf(body.get("messages"));
    }

    private static String promptHash(String prompt) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(prompt.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java runtime", e);
        }
    }

    /** Generation of the answer to one request. Steps run one after the other, each on an event loop. */
    private final class Generation {
        private final String id;
        private final ResponseSink response;
        private final CompletionFormat format;
        private final long promptTokens;
        private final String[] words;
        private final boolean isStreaming;
        private int nextWord;
        private boolean isDone;

        Generation(
                String id,
                ResponseSink response,
                CompletionFormat format,
                String prompt,
                String[] words,
                boolean isStreaming) {
            this.id = id;
            this.response = response;
            this.format = format;
            this.promptTokens = prompt.length() / CHARACTERS_PER_TOKEN;
            this.words = words;
            this.isStreaming = isStreaming;
        }

        void start() {
            if (isStreaming) {
                response.start(200, List.of(EVENT_STREAM));
            }
            step();
        }

        synchronized void cancel() {
            if (!isDone) {
                isDone = true;
                running.remove(id, this);
            }
        }

        /** Cancels the generation, which frees its memory, and aborts the response. */
        void stop() {
            cancel();
            response.abort();
        }

        long kvTokens() {
            return promptTokens + words.length;
        }

        private synchronized void step() {
            if (isDone) {
                return;
            }
            if (!isStreaming && timePerToken.isZero()) {
                nextWord = words.length;
            }
            if (nextWord == words.length) {
                finish();
                return;
            }
            if (isStreaming) {
                streamedTokens.incrementAndGet();
                String text = nextWord == 0 ? words[nextWord] : " " + words[nextWord];
                response.write(format.event(text, nextWord == words.length - 1), this::scheduleStep);
                nextWord++;
                return;
            }
            nextWord++;
            scheduleStep();
        }

        /**
         * Schedules the next step after the time per token. When streaming, this runs only once the caller has read the
         * previous token.
         */
        private void scheduleStep() {
            if (timePerToken.isZero()) {
                loops.execute(this::step);
            } else {
                loops.schedule(this::step, timePerToken.toNanos(), TimeUnit.NANOSECONDS);
            }
        }

        private void finish() {
            isDone = true;
            running.remove(id, this);
            if (isStreaming) {
                response.write(CompletionFormat.DONE_EVENT, () -> {});
                response.end();
            } else {
                response.respond(200, List.of(JSON), format.body(String.join(" ", words), promptTokens, words.length));
            }
        }
    }
}
