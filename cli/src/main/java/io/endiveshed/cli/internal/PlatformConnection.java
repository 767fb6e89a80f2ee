package io.endiveshed.cli.internal;

import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.base.time.Scheduler;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.platform.HttpPlatform;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** Connection of a command to the platform. */
final class PlatformConnection implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int DEFAULT_PORT = 80;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Scheduler scheduler = new ExecutorScheduler(loops);
    private final HttpPlatform platform;

    /** Connects on the first call; throws {@link IllegalArgumentException} with the remedy for another form of URL. */
    PlatformConnection(String url) {
        this.platform = new HttpPlatform(new HttpClient(loops, address(url)), scheduler, CALL_TIMEOUT);
    }

    /** Returns the address in a URL; throws {@link IllegalArgumentException} with the remedy for another form. */
    static InetSocketAddress address(String url) {
        URI uri = URI.create(url);
        if (!"http".equals(uri.getScheme())
                || uri.getHost() == null
                || !uri.getPath().matches("/?")) {
            throw new IllegalArgumentException(
                    "found \"" + url + "\" for --platform; write a URL such as http://127.0.0.1:9000");
        }
        return new InetSocketAddress(uri.getHost(), uri.getPort() < 0 ? DEFAULT_PORT : uri.getPort());
    }

    HttpPlatform platform() {
        return platform;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    /** Waits for a stage, which always completes, because every call to the platform has a time limit. */
    static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    @Override
    public void close() {
        platform.stop();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
