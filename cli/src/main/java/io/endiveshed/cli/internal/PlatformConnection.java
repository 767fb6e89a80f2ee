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

/** Connection to the platform for the duration of a command. */
final class PlatformConnection implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int DEFAULT_PORT = 80;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Scheduler scheduler = new ExecutorScheduler(loops);
    private final HttpPlatform platform;

    /**
     * Creates a connection that is opened on the first call.
     *
     * @throws IllegalArgumentException with the remedy, if the URL has another form than {@code http://HOST:PORT}
     */
    PlatformConnection(String url) {
        this.platform = new HttpPlatform(new HttpClient(loops, address(url)), scheduler, CALL_TIMEOUT);
    }

    /**
     * Returns the address in a URL; the port defaults to 80.
     *
     * @throws IllegalArgumentException with the remedy, if the URL has another form than {@code http://HOST:PORT}
     */
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

    /** Blocks until a stage completes, and returns its result. Calls to the platform always complete, as they time out. */
    static <T> T await(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    @Override
    public void close() {
        platform.stop();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
