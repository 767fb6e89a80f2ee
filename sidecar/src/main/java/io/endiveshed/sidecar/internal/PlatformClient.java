package io.endiveshed.sidecar.internal;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.base.time.Scheduler;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.platform.HttpPlatform;
import io.endiveshed.net.platform.StoreBudget;
import io.endiveshed.net.platform.StoreUse;
import io.endiveshed.ports.platform.InstanceList;
import io.endiveshed.ports.platform.ObjectStore;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Client of the platform for a sidecar: the store for claims, whose calls are limited by a {@link StoreBudget}, and the
 * list of instances.
 */
public final class PlatformClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Store calls per second of the sidecar of a plain service. A claim takes up to four calls (two reads and two
     * writes); the default rate refused more than a third of the bookings in a soak test. Three sidecars at this rate
     * stay below the several hundred writes per second that the store accepts.
     */
    private static final double CLAIM_CALLS_PER_SECOND = 80;

    private static final int CLAIM_BURST_CALLS = 160;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpPlatform platform;
    private final StoreBudget budget;

    /** Creates a client of the platform at an address for the sidecar of an engine or a plain service. */
    public PlatformClient(InetSocketAddress address, TargetKind kind, MetricRegistry metrics) {
        Scheduler scheduler = new ExecutorScheduler(loops);
        this.platform = new HttpPlatform(new HttpClient(loops, address), scheduler, CALL_TIMEOUT);
        boolean makesClaims = kind == TargetKind.SERVICE;
        this.budget = new StoreBudget(
                scheduler,
                new SecureRandom(),
                metrics,
                makesClaims ? CLAIM_CALLS_PER_SECOND : StoreBudget.DEFAULT_RATE,
                makesClaims ? CLAIM_BURST_CALLS : StoreBudget.DEFAULT_BURST);
    }

    /** Returns the store for claims. */
    public ObjectStore store() {
        return budget.store(platform, StoreUse.CLAIMS);
    }

    /** Returns the platform's list of instances. */
    public InstanceList instanceList() {
        return platform;
    }

    /** Closes the connections and stops the event loop. */
    public void stop() {
        platform.stop();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
