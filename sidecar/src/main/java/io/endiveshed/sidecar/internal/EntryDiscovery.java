package io.endiveshed.sidecar.internal;

import io.endiveshed.base.process.StopSignal;
import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.platform.HttpPlatform;
import io.endiveshed.ports.platform.ListedInstance;
import io.endiveshed.ports.platform.StoreError;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Finds the entry daemons in the platform's list of instances, once, when the process starts. */
public final class EntryDiscovery implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final long MIN_BACKOFF_MILLIS = 500;
    private static final long MAX_BACKOFF_MILLIS = 30_000;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpPlatform platform;

    /** Makes a client of the platform at an address. */
    public EntryDiscovery(InetSocketAddress address) {
        this.platform = new HttpPlatform(new HttpClient(loops, address), new ExecutorScheduler(loops), CALL_TIMEOUT);
    }

    /** Waits until the list names an entry; returns an empty list if the process is told to stop before. */
    public List<InetSocketAddress> await(StopSignal signal) throws InterruptedException {
        long backoff = MIN_BACKOFF_MILLIS;
        while (true) {
            List<InetSocketAddress> entries = read();
            if (!entries.isEmpty()) {
                return entries;
            }
            Logger.warn("the platform's list names no entry daemon or cannot be read; it is read again");
            long wait = backoff / 2 + ThreadLocalRandom.current().nextLong(backoff / 2);
            if (signal.await(Duration.ofMillis(wait))) {
                return List.of();
            }
            backoff = Math.min(MAX_BACKOFF_MILLIS, backoff * 2);
        }
    }

    @Override
    public void close() {
        platform.stop();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private List<InetSocketAddress> read() {
        Either<StoreError, List<ListedInstance>> list =
                platform.instances().toCompletableFuture().join();
        return list.getOrElse(List.of()).stream()
                .filter(instance -> instance.role() == ListedInstance.Role.ENTRY && !instance.leaving())
                .map(instance -> new InetSocketAddress(instance.host(), instance.port()))
                .toList();
    }
}
