package io.endiveshed.net.platform;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.HttpServer;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoreError;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A platform whose answers take longer than the timeout of a call. */
final class SlowPlatformTest {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final int PARTS = 20;
    private static final int PART_MILLIS = 100;
    private static final byte[] PADDING = " ".repeat(32 * 1024).getBytes(StandardCharsets.UTF_8);
    private static final byte[] EMPTY_BATCH = "{\"objects\":[],\"upTo\":1}".getBytes(StandardCharsets.UTF_8);

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer server = new HttpServer(
            loops,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            HttpServerLimits.defaults(),
            this::answer);
    private boolean endsAnswers = true;

    @AfterEach
    void stop() {
        server.stop();
        server.closeConnections();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a large answer on a slow link that is given up and requested again for ever. */
    @Test
    void answerThatArrivesIsReadToItsEnd() {
        HttpPlatform platform = start();
        assertThat(await(platform.list("claim", ""))).isEqualTo(Either.right(List.of()));
        assertThat(await(platform.watch("claim", new ObjectVersion(1), Duration.ZERO))
                        .isRight())
                .isTrue();
    }

    /** Guards against a call that waits for the rest of an answer for ever. */
    @Test
    void answerThatStopsFails() {
        endsAnswers = false;
        assertThat(await(start().list("claim", ""))).isEqualTo(Either.left(StoreError.UNAVAILABLE));
    }

    private HttpPlatform start() {
        server.start();
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
        return new HttpPlatform(new HttpClient(loops, address), new ExecutorScheduler(loops), CALL_TIMEOUT);
    }

    private void answer(HttpRequestData request, ResponseSink response) {
        response.start(200, List.of());
        sendParts(response, PARTS);
    }

    private void sendParts(ResponseSink response, int parts) {
        if (parts > 0) {
            response.write(PADDING, () -> {});
            loops.schedule(() -> sendParts(response, parts - 1), PART_MILLIS, TimeUnit.MILLISECONDS);
        } else if (endsAnswers) {
            response.write(EMPTY_BATCH, () -> {});
            response.end();
        }
    }

    private static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().orTimeout(30, TimeUnit.SECONDS).join();
    }
}
