package io.endiveshed.gateway.internal;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.crash.CrashRecord;
import io.endiveshed.coordination.evacuation.EvacuatedDomains;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.freshness.StoreIsolation;
import io.endiveshed.coordination.limit.SharingEntries;
import io.endiveshed.coordination.readiness.Readiness;
import io.endiveshed.coordination.retry.AttemptBudget;
import io.endiveshed.coordination.retry.RetryShare;
import io.endiveshed.coordination.service.AccessPolicy;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.coordination.service.ServiceRule;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.gateway.EntryRecord;
import io.endiveshed.gateway.GatewaySettings;
import io.endiveshed.gateway.PlatformPorts;
import io.endiveshed.gateway.RequestDialect;
import io.endiveshed.net.http.HttpClientOptions;
import io.endiveshed.net.http.HttpHandler;
import io.endiveshed.ports.platform.ObjectFeed;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Creates and connects the components of a gateway. All state is confined to one event loop. */
public final class GatewayComponents {
    /** Time between the last check of a key and the start of the request at its target, allowing for a slow instance. */
    private static final Duration KEY_CHECK_MARGIN = Duration.ofMillis(500);

    /**
     * Margin added to the time in which a desired state must be in force. While the desired state is older than the
     * sum, a request with an unknown route or key is not rejected as unknown.
     */
    private static final Duration UNKNOWN_ROUTE_MARGIN = Duration.ofMillis(500);

    /** Interval of heartbeats to the other entries, and of the removal of overdue prompts. */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    /** Interval at which requests that wait for the first desired state are checked. */
    private static final Duration STARTUP_QUEUE_INTERVAL = Duration.ofMillis(5);

    /** Timeout for opening a connection to a target. A lost packet costs one second; another target is tried sooner. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(350);

    /** Idle time after which a connection to a target is not reused. */
    private static final Duration MAX_CONNECTION_IDLE = Duration.ofSeconds(4);

    /** Margin subtracted from the idle limit that a target announces in whole seconds. */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(1_500);

    /** Maximum delay before an entry writes a lost record again, which spreads the writes of hundreds of entries. */
    private static final Duration MAX_REGISTRATION_DELAY = Duration.ofMillis(500);

    private final GatewaySettings settings;
    private final EventLog log;
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final AtomicValue<ServiceCatalog> catalog = new AtomicValue<>(ServiceCatalog.NONE);
    private final Targets targets;
    private final EngineBacklogTracker backlogs;
    private final CrashMonitor crashes;
    private final EvacuationMonitor evacuations;
    private final RequestLimits limits;
    private final ColdTargets cold;
    private final PeerExchange peers;
    private final AccessPolicy access;
    private final StoreEras eras = new StoreEras();
    private final StartupRequestQueue startupQueue = new StartupRequestQueue(this::canServe);
    private final RequestForwarder forwarder;
    private final FeedFollower<ServiceCatalog> catalogFollower;
    private final FeedFollower<TargetInstance> targetsFollower;
    private final FeedFollower<EntryRecord> entriesFollower;
    private final FeedFollower<CrashRecord> crashesFollower;
    private final FeedFollower<FailureDomain> evacuationsFollower;
    private final FeedSharing sharing;
    private final Map<ServiceName, AttemptBudget> budgetsByService = new HashMap<>();
    private final EntryRecord self;
    private final GatewayMetrics metrics;
    private final PlatformPorts ports;
    private volatile boolean isDraining;
    private volatile boolean isIsolated;

    /** Creates the components; {@link #start} starts them. */
    public GatewayComponents(
            GatewaySettings settings,
            RequestDialect dialect,
            Function<EventLoopGroup, PlatformPorts> portsFactory,
            MetricRegistry registry,
            EventLog log) {
        this.settings = settings;
        this.log = log;
        this.ports = portsFactory.apply(loops);
        this.self = new EntryRecord(
                settings.instance(),
                new Endpoint(settings.peers().getHostString(), settings.peers().getPort()),
                System.currentTimeMillis(),
                Optional.of(settings.domain()));
        this.metrics = new GatewayMetrics(registry);
        this.crashes = new CrashMonitor(
                self.instance(), target -> target.client().probe(), ports.crashes(), loop, metrics, log);
        this.targets = new Targets(
                loops,
                loop,
                new HttpClientOptions(CONNECT_TIMEOUT, MAX_CONNECTION_IDLE, KEEP_ALIVE_MARGIN),
                settings.bounds().contactWindow(),
                log,
                crashes::targetGone);
        targets.whenDiscarded(new DiscardedResponses(dialect, metrics, log)::record);
        this.evacuations = new EvacuationMonitor(new EvacuatedDomains(), loop, System::nanoTime, metrics, log);
        targets.whenAdded(target -> target.addGate(evacuations.gate(target)));
        if (settings.adaptiveSlowStart()) {
            SlowStarts slowStarts = new SlowStarts(this::isModelService, System::nanoTime, metrics, log);
            targets.whenAdded(target -> slowStarts.added(target, !targets.isListed()));
        }
        this.backlogs = new EngineBacklogTracker(targets);
        this.limits = new RequestLimits(self.instance(), targets, System::nanoTime, metrics, log);
        this.cold = new ColdTargets(
                self.instance(), targets, catalog, settings.bounds().cold(), System::nanoTime, metrics, log);
        crashes.whenCrashed(cold::crashed);
        this.peers = new PeerExchange(
                new PeerCodec.PeerIncarnation(self.instance(), self.startedMillis()),
                settings.peers(),
                loops,
                log,
                backlogs,
                crashes,
                limits,
                this::registerAgain);
        crashes.shareWith(peers);
        peers.shareCold(cold);
        this.access = new AccessPolicy(
                settings.bounds().revocation().minus(KEY_CHECK_MARGIN),
                settings.bounds().configurationApply().plus(UNKNOWN_ROUTE_MARGIN),
                () -> isIsolated);
        this.catalogFollower =
                follower("desired state", ports.catalog(), FeedPaces.catalog(), new CatalogUpdater(catalog, log));
        this.targetsFollower = follower("targets", ports.targets(), FeedPaces.targets(settings.bounds()), targets);
        this.entriesFollower = follower("entries", ports.entries(), FeedPaces.rareChanges(), peers);
        this.crashesFollower = follower("crashes", ports.crashes(), FeedPaces.rareChanges(), crashes);
        this.evacuationsFollower =
                follower("evacuations", ports.evacuations(), FeedPaces.evacuations(settings.bounds()), evacuations);
        this.sharing = new FeedSharing(
                self.instance(),
                settings.domain(),
                peers::share,
                new SecureRandom()::nextLong,
                GatewayComponents::readClocks,
                metrics::count,
                log);
        peers.whenShared(sharing::receive);
        sharing.add(catalogFollower, FeedPaces.shared(settings.bounds().configurationApply()));
        sharing.add(targetsFollower, FeedPaces.shared(settings.bounds().drain()));
        if (settings.bounds().evacuation().isPresent()) {
            sharing.add(evacuationsFollower, FeedPaces.sharedEvacuations(settings.bounds()));
        }
        catalogFollower.probeFor(List.of(targetsFollower, evacuationsFollower, entriesFollower, crashesFollower));
        HomeTargets homeTargets = new HomeTargets(targets, catalog, settings.regions());
        this.forwarder = new RequestForwarder(
                new GatewayContext(
                        loop,
                        dialect,
                        catalog,
                        catalogFollower::ageMillis,
                        targetsFollower::ageMillis,
                        access,
                        new EnginePicker(
                                self,
                                settings.domain(),
                                homeTargets,
                                backlogs,
                                peers,
                                ports.engineMemory(),
                                settings.bounds().unusedMemory(),
                                loop,
                                log),
                        new PlainTargetPicker(homeTargets, settings.domain()),
                        targets::findAt,
                        limits,
                        cold,
                        this::budget,
                        crashes,
                        new ResponseMemory(settings.responses()),
                        new EmbeddedResponses(dialect),
                        metrics,
                        log),
                startupQueue);
    }

    /** Returns the event loops. */
    public EventLoopGroup loops() {
        return loops;
    }

    /** Returns the handler of callers' requests. */
    public HttpHandler forwarder() {
        return forwarder;
    }

    /** Starts to follow the store, to exchange datagrams with other entries and to release waiting requests. */
    public void start() {
        peers.start();
        catalogFollower.start();
        targetsFollower.start();
        entriesFollower.start();
        crashesFollower.start();
        evacuationsFollower.start();
        register();
        loop.scheduleAtFixedRate(
                this::heartbeat, HEARTBEAT_INTERVAL.toMillis(), HEARTBEAT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        checkStartupQueue();
    }

    /** Stops all components and shuts down the event loops. */
    public void stop() {
        catalogFollower.stop();
        targetsFollower.stop();
        entriesFollower.stop();
        crashesFollower.stop();
        evacuationsFollower.stop();
        peers.stop();
        loops.shutdownGracefully(0, HEARTBEAT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    /**
     * Returns whether the load balancer should send callers here: requests can be served, and if keys are required, the
     * desired state is recent enough to check them. An entry that alone cannot reach the store leaves the rotation before
     * it must refuse callers.
     */
    public boolean isReady() {
        boolean canCheckKeys = !catalog.read().keysRequired() || !access.isTooOldForKeys(catalogFollower.ageMillis());
        return canCheckKeys
                && !isIsolated
                && evacuations.isRead()
                && readiness(isDraining).isReady();
    }

    /** Returns whether requests that have waited since the start can be served, with what other entries have stored. */
    private boolean canServe() {
        return readiness(false).isReady() && crashes.isListed() && evacuations.isRead();
    }

    private Readiness readiness(boolean isStopping) {
        return new Readiness(catalog.read().isKnown(), !targets.hasNoneUsable(), isStopping);
    }

    /** Reports not ready from now on, while requests are still served. */
    public void startDraining() {
        isDraining = true;
    }

    /** Refuses new requests from now on. */
    public void refuseNewRequests() {
        loop.execute(forwarder::refuseNewRequests);
    }

    /** Answers the requests that are still open, because the process is about to end; returns when it is done. */
    public void endOpenRequests() {
        loop.submit(forwarder::endOpenRequests).syncUninterruptibly();
    }

    /** Returns the number of forwarded requests whose response has not ended. */
    public int openRequestCount() {
        return forwarder.openRequestCount();
    }

    private void heartbeat() {
        long stateAgeMillis = catalogFollower.ageMillis();
        peers.heartbeat(stateAgeMillis, crashes.blocked(), limits.notices());
        boolean hasStoreContact =
                stateAgeMillis <= settings.bounds().contactWindow().toMillis();
        SharingEntries sharingEntries = peers.listedEntries()
                .map(listed -> SharingEntries.select(self.instance(), listed, peers.heardEntries(), hasStoreContact))
                .orElse(SharingEntries.NONE);
        limits.setEntries(sharingEntries.entries());
        cold.setEntries(sharingEntries);
        sharing.ask(peers.heardIn(settings.domain()));
        crashes.store(peers.isFullyConnected(), peers.heardEntries().size());
        updateIsolation();
        evacuations.logUnknown(targets.domains());
        backlogs.removeOverdue();
    }

    private void updateIsolation() {
        long ageMillis = catalogFollower.ageMillis();
        List<Long> peerAgesMillis = peers.stateAgesMillis();
        boolean isNowIsolated = StoreIsolation.isIsolated(ageMillis, peerAgesMillis);
        if (isNowIsolated != isIsolated) {
            isIsolated = isNowIsolated;
            log.change(isNowIsolated ? "store.isolated" : "store.isolation-ended")
                    .with("state_age_ms", ageMillis)
                    .with("peers", peerAgesMillis.size())
                    .write();
        }
    }

    /** Releases due requests of the startup queue, repeatedly until the entry can serve and all were released. */
    private void checkStartupQueue() {
        startupQueue.releaseDue(System.nanoTime());
        if (!canServe()) {
            loop.schedule(this::checkStartupQueue, STARTUP_QUEUE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Registers this entry whose record the store has lost; all entries lose theirs at the same time. */
    private void registerAgain() {
        long delayMillis = ThreadLocalRandom.current().nextLong(MAX_REGISTRATION_DELAY.toMillis());
        log.change("entry.unlisted").with("register_in_ms", delayMillis).write();
        loop.schedule(this::register, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Registers this entry at the platform, and tries again until that succeeds. */
    private void register() {
        metrics.countStoreCall("entries", StoreCalls.Kind.WRITE);
        ports.entries()
                .register(self)
                .thenAccept(result -> loop.execute(() -> {
                    if (result.isRight()) {
                        log.change("entry.registered")
                                .with("peers", self.peerAddress())
                                .write();
                    } else {
                        loop.schedule(this::register, HEARTBEAT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
                    }
                }));
    }

    /** Returns the retry budget of a service, sized at its first request by the number of listed entries. */
    private AttemptBudget budget(ServiceName service) {
        return budgetsByService.computeIfAbsent(service, name -> {
            GatewaySettings.Bounds bounds = settings.bounds();
            return new RetryShare(bounds.retryShare(), bounds.retryAllowance())
                    .budget(peers.listedEntryCount(), System::nanoTime);
        });
    }

    private boolean isModelService(ServiceName service) {
        return catalog.read().service(service).flatMap(ServiceRule::engineCosts).isPresent();
    }

    private <T> FeedFollower<T> follower(
            String name, ObjectFeed<T> feed, FeedFollower.Pace pace, FeedFollower.Listener<T> listener) {
        return new FeedFollower<>(
                name, feed, pace, eras, loop, GatewayComponents::readClocks, log, listener, metrics::countStoreCall);
    }

    private static ClockReading readClocks() {
        return new ClockReading(System.nanoTime(), System.currentTimeMillis());
    }
}
