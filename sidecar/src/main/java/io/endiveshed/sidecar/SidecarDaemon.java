package io.endiveshed.sidecar;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.claim.ClaimEnvironment;
import io.endiveshed.coordination.claim.ClaimLog;
import io.endiveshed.coordination.claim.ClaimSettings;
import io.endiveshed.coordination.config.ActiveConfiguration;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.coordination.membership.EntryCandidates;
import io.endiveshed.coordination.membership.EntrySelector;
import io.endiveshed.net.engine.HttpEnginePort;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.HttpClientOptions;
import io.endiveshed.net.link.LinkDialer;
import io.endiveshed.ports.platform.InstanceList;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.sidecar.internal.ClaimGate;
import io.endiveshed.sidecar.internal.EntryLinks;
import io.endiveshed.sidecar.internal.LinkContext;
import io.endiveshed.sidecar.internal.OrphanedRequestCanceller;
import io.endiveshed.sidecar.internal.PlatformClient;
import io.endiveshed.sidecar.internal.SidecarMetricsServer;
import io.endiveshed.sidecar.internal.TargetCalls;
import io.endiveshed.sidecar.internal.UnavailableStore;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.SystemNanoClock;
import org.tinylog.Logger;

/**
 * Process of a sidecar, which runs beside one target and connects it to entry daemons.
 *
 * <pre>{@code
 * SidecarDaemon sidecar = new SidecarDaemon(settings, store);
 * sidecar.start();
 * ...
 * sidecar.stop();
 * }</pre>
 */
public final class SidecarDaemon {
    /** Number of event loops; two are enough for the traffic of one target. */
    private static final int EVENT_LOOPS = 2;

    /** Longest wait for the entries to acknowledge that the target leaves; a disconnected entry never does. */
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(2);

    /** Time for dispatches that an entry had decided on before it received the announcement. */
    private static final Duration ANNOUNCE_SETTLE_TIME = Duration.ofMillis(200);

    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long OPENING_HOURS_CHECK_INTERVAL_MILLIS = 1_000;

    private static final InstanceList EMPTY_INSTANCE_LIST =
            () -> CompletableFuture.completedFuture(Either.right(List.of()));

    private final SidecarSettings settings;
    private final Optional<PlatformClient> platform;
    private final InstantSource clock;
    private final EventLoopGroup loops;
    private final HttpClient targetClient;
    private final TargetCalls calls;
    private final EntryLinks entryLinks;
    private final Optional<SidecarMetricsServer> metricsServer;
    private final AtomicBoolean linksStarted = new AtomicBoolean();
    private final AtomicBoolean stopRequested = new AtomicBoolean();

    /** Creates a sidecar that uses the platform of its settings, if they name one. */
    public SidecarDaemon(SidecarSettings settings) {
        this(settings, new MetricRegistry());
    }

    /** Creates a sidecar that links only to the entries of its settings. */
    public SidecarDaemon(SidecarSettings settings, ObjectStore store) {
        this(settings, store, EMPTY_INSTANCE_LIST, InstantSource.system());
    }

    /** Creates a sidecar whose clock determines whether its opening hours apply. */
    public SidecarDaemon(SidecarSettings settings, ObjectStore store, InstanceList instanceList, InstantSource clock) {
        this(settings, store, instanceList, clock, new MetricRegistry(), Optional.empty());
    }

    private SidecarDaemon(SidecarSettings settings, MetricRegistry metrics) {
        this(
                settings,
                metrics,
                settings.platformAddress().map(address -> new PlatformClient(address, settings.targetKind(), metrics)));
    }

    private SidecarDaemon(SidecarSettings settings, MetricRegistry metrics, Optional<PlatformClient> platform) {
        this(
                settings,
                platform.map(PlatformClient::store).orElseGet(UnavailableStore::new),
                platform.map(PlatformClient::instanceList).orElse(EMPTY_INSTANCE_LIST),
                InstantSource.system(),
                metrics,
                platform);
    }

    private SidecarDaemon(
            SidecarSettings settings,
            ObjectStore store,
            InstanceList instanceList,
            InstantSource clock,
            MetricRegistry metrics,
            Optional<PlatformClient> platform) {
        this.platform = platform;
        this.settings = settings;
        this.clock = clock;
        this.loops = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
        this.targetClient = new HttpClient(
                loops,
                settings.targetAddress(),
                HttpClientOptions.withoutReuse(HttpClientOptions.defaults().connectTimeout()));
        SecureRandom random = new SecureRandom();
        Incarnation incarnation = Incarnation.random(random);
        this.calls = new TargetCalls(
                settings,
                incarnation,
                targetClient,
                createClaimGate(store, random, incarnation, metrics),
                SystemNanoClock.INSTANCE);
        ActiveConfiguration active = new ActiveConfiguration(new AtomicValue<>(Configuration.NONE), metrics);
        ConfigurationExchange configuration = new ConfigurationExchange(new ExecutorScheduler(loops), active, metrics);
        LinkContext context = new LinkContext(
                settings,
                incarnation,
                new LinkDialer(loops),
                SystemNanoClock.INSTANCE,
                loops,
                random,
                calls,
                configuration);
        EntrySelector selector = new EntrySelector(settings.instance(), settings.location());
        EntryCandidates candidates =
                new EntryCandidates(selector, EntryLinks.configuredEntries(settings), SystemNanoClock.INSTANCE);
        this.entryLinks = new EntryLinks(context, candidates, instanceList);
        SidecarMetricsServer.registerGauges(calls, metrics);
        this.metricsServer =
                settings.metricsAddress().map(address -> new SidecarMetricsServer(loops, address, metrics));
    }

    private ClaimGate createClaimGate(
            ObjectStore store, RandomGenerator random, Incarnation incarnation, MetricRegistry metrics) {
        ServiceName service = new ServiceName(settings.serves().get(0));
        ClaimEnvironment environment =
                new ClaimEnvironment(store, new ExecutorScheduler(loops), clock::millis, random, incarnation);
        return new ClaimGate(
                service,
                new ClaimLog(service, ClaimSettings.builder().build(), environment),
                SystemNanoClock.INSTANCE,
                metrics);
    }

    /**
     * Opens links to the entry daemons, at once or when the opening hours begin. The sidecar stops by itself when the
     * opening hours end.
     */
    public void start() {
        metricsServer.ifPresent(SidecarMetricsServer::start);
        applyOpeningHours();
        loops.scheduleAtFixedRate(
                this::applyOpeningHours,
                OPENING_HOURS_CHECK_INTERVAL_MILLIS,
                OPENING_HOURS_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        scheduleEvery(TargetCalls.EXPIRY_CHECK_INTERVAL, calls::endExpiredCalls);
        if (settings.targetKind() == TargetKind.ENGINE) {
            OrphanedRequestCanceller canceller =
                    new OrphanedRequestCanceller(new HttpEnginePort(targetClient), calls::attemptIds);
            scheduleEvery(OrphanedRequestCanceller.CHECK_INTERVAL, canceller::cancelOrphans);
        }
        Logger.info("sidecar of {} started: target {}", settings.instance(), settings.targetAddress());
    }

    private void scheduleEvery(Duration interval, Runnable task) {
        loops.scheduleWithFixedDelay(task, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Stops the sidecar: refuses new work, announces that the target leaves, lets running work finish within the grace
     * period of the settings, fails the remaining calls and closes all connections. Blocks until then; further calls
     * have no effect.
     */
    public void stop() {
        if (!stopRequested.compareAndSet(false, true)) {
            return;
        }
        long start = System.nanoTime();
        calls.drain();
        entryLinks.announceLeaving(settings.stopGrace());
        await(entryLinks::isLeavingAcknowledged, start, ANNOUNCE_TIMEOUT);
        if (linksStarted.get()) {
            await(() -> false, System.nanoTime(), ANNOUNCE_SETTLE_TIME);
        }
        await(calls::isIdle, start, settings.stopGrace());
        calls.failRemainingCalls();
        entryLinks.stop();
        await(entryLinks::isClosed, System.nanoTime(), CLOSE_TIMEOUT);
        targetClient.stop();
        metricsServer.ifPresent(SidecarMetricsServer::stop);
        platform.ifPresent(PlatformClient::stop);
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        Logger.info("sidecar of {} stopped", settings.instance());
    }

    /** Returns the port on which metrics are read, if the settings name an address. */
    public OptionalInt metricsPort() {
        return metricsServer.map(server -> OptionalInt.of(server.port())).orElseGet(OptionalInt::empty);
    }

    /** Returns whether the sidecar has stopped, on request or because its opening hours ended. */
    public boolean isStopped() {
        return loops.isTerminated();
    }

    private void applyOpeningHours() {
        boolean open = settings.openingHours().isOpen(clock.instant());
        if (open && linksStarted.compareAndSet(false, true)) {
            entryLinks.start();
        } else if (!open && linksStarted.get() && !stopRequested.get()) {
            Logger.info("closing time of {}: the opening hours are over; stopping the sidecar", settings.instance());
            // stop() waits for the event loops to end, so it must not run on one of them.
            new Thread(this::stop, "closing-time").start();
        }
    }

    private static void await(BooleanSupplier condition, long startNanos, Duration timeout) {
        while (!condition.getAsBoolean() && System.nanoTime() - startNanos < timeout.toNanos()) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
