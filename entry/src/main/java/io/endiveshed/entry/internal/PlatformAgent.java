package io.endiveshed.entry.internal;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.base.time.Scheduler;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.config.ActiveConfiguration;
import io.endiveshed.coordination.config.ConfigurationController;
import io.endiveshed.entry.EntrySettings;
import io.endiveshed.entry.EntryStatus;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.platform.HttpPlatform;
import io.endiveshed.net.platform.StoreBudget;
import io.endiveshed.net.platform.StoreUse;
import io.endiveshed.ports.platform.InstanceList;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Connects an entry daemon to the platform: follows the configuration, reads the list of instances and reports the
 * status.
 */
public final class PlatformAgent {
    private static final Duration PLATFORM_CALL_TIMEOUT = Duration.ofSeconds(5);

    private final EntrySettings settings;
    private final Incarnation incarnation;
    private final Blackboard blackboard;
    private final HttpPlatform platform;
    private final ConfigurationController controller;
    private final StatusReporter reporter;
    private final InstanceList instances;

    /** Creates an agent; it makes no call to the platform before {@link #start}. */
    public PlatformAgent(
            EntrySettings settings,
            InetSocketAddress address,
            Incarnation incarnation,
            EventLoopGroup eventLoops,
            Blackboard blackboard,
            ActiveConfiguration active,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.blackboard = blackboard;
        Scheduler scheduler = new ExecutorScheduler(eventLoops);
        this.platform = new HttpPlatform(new HttpClient(eventLoops, address), scheduler, PLATFORM_CALL_TIMEOUT);
        StoreBudget budget =
                new StoreBudget(scheduler, random, metrics, StoreBudget.DEFAULT_RATE, StoreBudget.DEFAULT_BURST);
        this.controller = new ConfigurationController(
                scheduler, budget.store(platform, StoreUse.CONFIGURATION), active, random, metrics);
        this.instances = budget.instances(platform);
        this.reporter = new StatusReporter(scheduler, budget.store(platform, StoreUse.STATUS), random, this::status);
    }

    /** Returns the list of instances of the platform; its calls count against the budget of this agent. */
    public InstanceList instances() {
        return instances;
    }

    /** Starts to follow the configuration and to report the status. */
    public void start() {
        controller.start();
        reporter.start();
    }

    /** Stops following and reporting, and closes the connections. */
    public void stop() {
        controller.stop();
        reporter.stop();
        platform.stop();
    }

    private EntryStatus status() {
        return new EntryStatus(
                settings.instance().value(),
                incarnation.toString(),
                settings.region().value(),
                settings.failureDomain().value(),
                blackboard.configuration().read().revision().value(),
                controller.isFollowing(),
                blackboard.fleet().read().targets().size(),
                System.currentTimeMillis());
    }
}
