package io.endiveshed.sidecar;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.coordination.blackboard.Cell;
import io.endiveshed.coordination.config.ActiveConfiguration;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.link.LinkDialer;
import io.endiveshed.protocol.Lane;
import io.endiveshed.sidecar.internal.EntryLink;
import io.endiveshed.sidecar.internal.TargetCalls;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Sidecar of one target.
 *
 * <pre>{@code
 * SidecarDaemon sidecar = new SidecarDaemon(settings);
 * sidecar.start();
 * ...
 * sidecar.stop();
 * }</pre>
 */
public final class SidecarDaemon {
    /** Event loops; one target's traffic fits two. */
    private static final int EVENT_LOOPS = 2;

    private final SidecarSettings settings;
    private final EventLoopGroup loops;
    private final HttpClient target;
    private final List<EntryLink> entries = new ArrayList<>();

    /** Makes a sidecar that connects once started. */
    public SidecarDaemon(SidecarSettings settings) {
        this.settings = settings;
        this.loops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
        this.target = new HttpClient(loops, settings.targetAddress());
        SecureRandom random = new SecureRandom();
        Incarnation incarnation = Incarnation.random(random);
        LinkDialer dialer = new LinkDialer(loops);
        TargetCalls calls = new TargetCalls(settings, incarnation, target);
        MetricRegistry metrics = new MetricRegistry();
        ActiveConfiguration active = new ActiveConfiguration(new Cell<>(Configuration.NONE), metrics);
        ConfigurationExchange configuration = new ConfigurationExchange(new ExecutorScheduler(loops), active, metrics);
        for (InetSocketAddress entry : settings.entries()) {
            for (Lane lane : Lane.values()) {
                entries.add(
                        new EntryLink(settings, incarnation, entry, lane, dialer, loops, random, calls, configuration));
            }
        }
    }

    /** Opens links to the entry daemons. */
    public void start() {
        entries.forEach(EntryLink::start);
        Logger.info("sidecar of {} started: target {}", settings.instance(), settings.targetAddress());
    }

    /** Closes every connection. */
    public void stop() {
        entries.forEach(EntryLink::stop);
        target.stop();
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        Logger.info("sidecar of {} stopped", settings.instance());
    }
}
