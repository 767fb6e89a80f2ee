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

/** The platform as a sidecar uses it: its store for claims and its list of instances, within one budget of calls. */
public final class SidecarPlatform {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    /**
     * Calls per second before a plain service. A claim takes up to four (two reads, two writes); with the default rate,
     * more than a third of the bookings of a soak were refused. Three such sidecars stay below the store's several
     * hundred writes a second.
     */
    private static final double CLAIM_RATE = 80;

    private static final int CLAIM_BURST = 160;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpPlatform platform;
    private final StoreBudget budget;

    /** Makes a client of the platform at an address for the sidecar of an engine or a plain service. */
    public SidecarPlatform(InetSocketAddress address, TargetKind kind, MetricRegistry metrics) {
        Scheduler scheduler = new ExecutorScheduler(loops);
        this.platform = new HttpPlatform(new HttpClient(loops, address), scheduler, CALL_TIMEOUT);
        boolean claims = kind == TargetKind.SERVICE;
        this.budget = new StoreBudget(
                scheduler,
                new SecureRandom(),
                metrics,
                claims ? CLAIM_RATE : StoreBudget.DEFAULT_RATE,
                claims ? CLAIM_BURST : StoreBudget.DEFAULT_BURST);
    }

    /** Returns the store for claims. */
    public ObjectStore store() {
        return budget.store(platform, StoreUse.CLAIMS);
    }

    /** Returns the list of instances. */
    public InstanceList instances() {
        return platform;
    }

    /** Closes the connections. */
    public void stop() {
        platform.stop();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
