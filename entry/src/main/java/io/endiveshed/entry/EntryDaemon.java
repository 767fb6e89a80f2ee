package io.endiveshed.entry;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.config.ActiveConfiguration;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.coordination.membership.TargetTable;
import io.endiveshed.coordination.routing.LeastOutstandingSelector;
import io.endiveshed.entry.internal.CallCounters;
import io.endiveshed.entry.internal.CallLatencies;
import io.endiveshed.entry.internal.CallerApi;
import io.endiveshed.entry.internal.Dispatcher;
import io.endiveshed.entry.internal.DrainingHandler;
import io.endiveshed.entry.internal.EngineCallScheduler;
import io.endiveshed.entry.internal.PlatformAgent;
import io.endiveshed.entry.internal.SidecarLinks;
import io.endiveshed.entry.internal.TargetLossDetector;
import io.endiveshed.net.http.HttpServer;
import io.endiveshed.net.http.MetricsPage;
import io.endiveshed.net.link.LinkServer;
import io.endiveshed.ports.platform.InstanceList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agrona.concurrent.SystemNanoClock;
import org.tinylog.Logger;

/**
 * Entry daemon.
 *
 * <pre>{@code
 * EntryDaemon entry = new EntryDaemon(settings, blackboard);
 * entry.start();
 * ...
 * entry.stop();
 * }</pre>
 */
public final class EntryDaemon {
    /** Threads that parse long bodies, so that event loops stay free for short requests. */
    private static final int PARSER_THREADS = 2;

    /** Long bodies that may wait to be parsed; more are refused. */
    private static final int PARSER_QUEUE_CAPACITY = 64;

    /**
     * Time in which connections are still accepted and requests refused before the listener closes, so that load
     * balancers and callers with open connections learn from an answer that this entry stops. A connection closes
     * without an answer only after it was idle for as long, because a request may be on its way.
     */
    private static final Duration REFUSAL_PERIOD = Duration.ofMillis(500);

    /** Interval between reads of the platform's list; 390 entries make 195 reads/s of the platform's 2,000. */
    private static final long INSTANCE_LIST_INTERVAL_SECONDS = 2;

    private static final long OPENING_HOURS_INTERVAL_MILLIS = 1_000;
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Time to write the last answers after the grace period. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

    private static final InstanceList NO_INSTANCES = () -> CompletableFuture.completedFuture(Either.right(List.of()));

    private final EntrySettings settings;
    private final InstanceList instanceList;
    private final InstantSource clock;
    private final TargetTable targetTable;
    private final SidecarLinks sidecars;
    private final TargetLossDetector lossDetector;
    private final DrainingHandler drainingHandler;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final EventLoopGroup eventLoops;
    private final ThreadPoolExecutor parserExecutor;
    private final HttpServer callerServer;
    private final LinkServer linkServer;
    private final Dispatcher dispatcher;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Optional<PlatformAgent> platformAgent;

    /** Makes a daemon that reads the list of instances from the platform that its settings name, if any. */
    public EntryDaemon(EntrySettings settings, Blackboard blackboard) {
        this(settings, blackboard, Optional.empty(), InstantSource.system());
    }

    /**
     * Makes a daemon that reads the configuration from the blackboard and writes the fleet to it; the clock decides
     * about opening hours.
     */
    public EntryDaemon(EntrySettings settings, Blackboard blackboard, InstanceList instanceList, InstantSource clock) {
        this(settings, blackboard, Optional.of(instanceList), clock);
    }

    private EntryDaemon(
            EntrySettings settings, Blackboard blackboard, Optional<InstanceList> givenList, InstantSource clock) {
        this.settings = settings;
        this.clock = clock;
        SecureRandom random = new SecureRandom();
        this.eventLoops = new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
        this.parserExecutor = new ThreadPoolExecutor(
                PARSER_THREADS, PARSER_THREADS, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(PARSER_QUEUE_CAPACITY));
        Incarnation incarnation = Incarnation.random(random);
        this.targetTable = new TargetTable(blackboard.fleet(), SystemNanoClock.INSTANCE, settings.location());
        this.sidecars =
                new SidecarLinks(settings, incarnation, random, blackboard, targetTable, SystemNanoClock.INSTANCE);
        ActiveConfiguration activeConfiguration = new ActiveConfiguration(blackboard.configuration(), metrics);
        sidecars.setConfigurationExchange(
                new ConfigurationExchange(new ExecutorScheduler(eventLoops), activeConfiguration, metrics));
        this.platformAgent = settings.platformAddress()
                .map(address -> new PlatformAgent(
                        settings, address, incarnation, eventLoops, blackboard, activeConfiguration, random, metrics));
        this.instanceList =
                givenList.or(() -> platformAgent.map(PlatformAgent::instances)).orElse(NO_INSTANCES);
        CallCounters counters = new CallCounters(metrics);
        // A generator for each thread: event loops share no lock on the request path.
        EngineCallScheduler engineCalls = EngineCallScheduler.create(
                settings.failureDomain(),
                settings.engineCost(),
                blackboard,
                System::nanoTime,
                () -> ThreadLocalRandom.current().nextLong());
        this.lossDetector = new TargetLossDetector(
                blackboard.fleet()::read, targetTable::state, engineCalls::recordTargetLoss, engineCalls::removeTarget);
        this.dispatcher = new Dispatcher(
                sidecars,
                blackboard,
                new LeastOutstandingSelector(sidecars::outstanding),
                engineCalls,
                random,
                eventLoops,
                SystemNanoClock.INSTANCE,
                counters,
                new CallLatencies(metrics));
        sidecars.setCallMessageListener(dispatcher);
        this.drainingHandler =
                new DrainingHandler(new CallerApi(blackboard, dispatcher, parserExecutor, new MetricsPage(metrics)));
        this.callerServer =
                new HttpServer(eventLoops, settings.callerAddress(), settings.limits(), drainingHandler, metrics);
        this.linkServer = new LinkServer(eventLoops, settings.linkAddress(), sidecars, metrics);
    }

    /** Starts to accept links and callers. */
    public void start() {
        linkServer.start();
        dispatcher.start();
        callerServer.start();
        scheduleEvery(TargetTable.TICK_INTERVAL.toMillis(), targetTable::tick);
        scheduleEvery(TargetTable.TICK_INTERVAL.toMillis(), lossDetector::tick);
        scheduleEvery(TimeUnit.SECONDS.toMillis(INSTANCE_LIST_INTERVAL_SECONDS), this::refreshInstanceList);
        scheduleEvery(OPENING_HOURS_INTERVAL_MILLIS, this::stopOutsideOpeningHours);
        platformAgent.ifPresent(PlatformAgent::start);
        Logger.info(
                "entry {} started: callers on port {}, links on port {}",
                settings.instance(),
                callerPort(),
                linkPort());
    }

    /** Returns the metrics of the daemon. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /** Returns the port on which callers are answered. */
    public int callerPort() {
        return callerServer.port();
    }

    /** Returns the port to which sidecars open links. */
    public int linkPort() {
        return linkServer.port();
    }

    /**
     * Announces that the entry leaves, refuses new requests, lets running ones finish within the grace period of the
     * settings, fails the rest and closes every connection. Further calls have no effect.
     */
    public void stop() {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        long start = System.nanoTime();
        platformAgent.ifPresent(PlatformAgent::stop);
        drainingHandler.drain();
        callerServer.drain();
        sidecars.announceLeaving(settings.stopGrace());
        await(() -> false, start, REFUSAL_PERIOD);
        callerServer.stop();
        awaitConnectionRegistration();
        await(this::isDrained, start, settings.stopGrace());
        drainingHandler.failRemaining();
        await(this::isDrained, System.nanoTime(), CLOSE_TIMEOUT);
        linkServer.stop();
        eventLoops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        parserExecutor.shutdown();
        Logger.info("entry {} stopped", settings.instance());
    }

    /** Tells whether the daemon has stopped, on request or at closing time. */
    public boolean isStopped() {
        return eventLoops.isTerminated();
    }

    /** Waits until accepted connections are registered; one that is not would stay open without being served. */
    private void awaitConnectionRegistration() {
        eventLoops.forEach(loop -> loop.submit(() -> {}).syncUninterruptibly());
    }

    private boolean isDrained() {
        callerServer.closeIdle(REFUSAL_PERIOD);
        return drainingHandler.isIdle() && callerServer.openConnections() == 0;
    }

    private void refreshInstanceList() {
        instanceList.instances().thenAccept(result -> result.peek(targetTable::applyInstanceList));
    }

    private void stopOutsideOpeningHours() {
        if (!settings.openingHours().isOpen(clock.instant()) && !stopping.get()) {
            Logger.info("closing time of {}", settings.instance());
            // stop() waits for the event loops and must not run on one of them.
            new Thread(this::stop, "closing-time").start();
        }
    }

    private void scheduleEvery(long millis, Runnable task) {
        eventLoops.scheduleAtFixedRate(task, 0, millis, TimeUnit.MILLISECONDS);
    }

    private static void await(BooleanSupplier condition, long startNanos, Duration timeout) {
        while (!condition.getAsBoolean() && System.nanoTime() - startNanos < timeout.toNanos()) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
