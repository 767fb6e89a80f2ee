package io.endiveshed.local;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ModelName;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.id.Revision;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.config.AccountConfig;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.config.ModelConfig;
import io.endiveshed.coordination.config.ServiceConfig;
import io.endiveshed.entry.EntryDaemon;
import io.endiveshed.entry.EntrySettings;
import io.endiveshed.entry.internal.BearerKeys;
import io.endiveshed.net.link.LinkSecret;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.sidecar.SidecarDaemon;
import io.endiveshed.sidecar.SidecarSettings;
import io.endiveshed.standins.BookingStandIn;
import io.endiveshed.standins.EngineStandIn;
import io.endiveshed.standins.InMemoryObjectStore;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Deployment in one process: an entry daemon, three engine stand-ins and a plain-service stand-in, each with a sidecar.
 *
 * <pre>{@code
 * LocalDeployment deployment = new LocalDeployment(8080);
 * deployment.start();
 * ...
 * deployment.stop();
 * }</pre>
 */
public final class LocalDeployment {
    /** Bearer key of the client account; there is only one. */
    public static final String API_KEY = "local-key";

    /** Name of the model that the engines serve. */
    public static final String MODEL = "tsehay-llm";

    /** Name of the plain service. */
    public static final String SERVICE = "depot-app";

    private static final int ENGINE_COUNT = 3;
    private static final long KV_CAPACITY_TOKENS = 4_000_000;
    private static final LinkSecret LINK_SECRET = new LinkSecret("local-link-secret");
    private static final Region REGION = new Region("local");
    private static final Duration DEADLINE = Duration.ofSeconds(60);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Blackboard blackboard = new Blackboard();
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<SidecarDaemon> sidecars = new ArrayList<>();
    private final BookingStandIn bookings = new BookingStandIn(loops, loopback(0));
    private final EntryDaemon entry;
    private final ObjectStore store;

    /** Creates a deployment that listens for callers on the given loopback port; 0 selects a free port. */
    public LocalDeployment(int port) {
        this(port, Optional.empty());
    }

    /** Creates a deployment whose sidecars use the given store, or an in-memory store if none is given. */
    LocalDeployment(int port, Optional<ObjectStore> givenStore) {
        this.store = givenStore.orElseGet(() -> new InMemoryObjectStore(new ExecutorScheduler(loops)));
        this.entry = new EntryDaemon(
                EntrySettings.builder()
                        .instance(new InstanceId("entry-1"))
                        .region(REGION)
                        .failureDomain(new FailureDomain("local-a"))
                        .callerAddress(loopback(port))
                        .linkAddress(loopback(0))
                        .engineCost(EngineStandIn.COST)
                        .linkSecret(LINK_SECRET)
                        .build(),
                blackboard);
        for (int i = 0; i < ENGINE_COUNT; i++) {
            engines.add(new EngineStandIn(loops, loopback(0), Duration.ZERO));
        }
    }

    /**
     * Starts all components and blocks until every target is linked to the entry daemon.
     *
     * @throws IllegalStateException if the targets are not linked within 30 seconds
     */
    public void start() {
        blackboard.configuration().update(none -> configuration());
        entry.start();
        for (int i = 0; i < ENGINE_COUNT; i++) {
            engines.get(i).start();
            startSidecar(
                    "engine-" + (i + 1),
                    TargetKind.ENGINE,
                    MODEL,
                    engines.get(i).port(),
                    KV_CAPACITY_TOKENS);
        }
        bookings.start();
        startSidecar("depot-1", TargetKind.SERVICE, SERVICE, bookings.port(), 0);
        awaitTargets();
    }

    /** Returns the port on which the entry daemon listens for callers. */
    public int port() {
        return entry.callerPort();
    }

    /** Returns the engine stand-ins. */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /** Returns the plain-service stand-in. */
    public BookingStandIn bookings() {
        return bookings;
    }

    /** Stops all components. */
    public void stop() {
        entry.stop();
        sidecars.forEach(SidecarDaemon::stop);
        engines.forEach(EngineStandIn::stop);
        bookings.stop();
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void startSidecar(String instance, TargetKind kind, String serves, int targetPort, long kvCapacity) {
        SidecarDaemon sidecar = new SidecarDaemon(
                SidecarSettings.builder()
                        .instance(new InstanceId(instance))
                        .region(REGION)
                        .failureDomain(new FailureDomain("local-a"))
                        .targetKind(kind)
                        .serves(List.of(serves))
                        .targetAddress(loopback(targetPort))
                        .entries(List.of(loopback(entry.linkPort())))
                        .linkSecret(LINK_SECRET)
                        .kvCapacityTokens(kvCapacity)
                        .build(),
                store);
        sidecars.add(sidecar);
        sidecar.start();
    }

    private void awaitTargets() {
        long startNanos = System.nanoTime();
        while (blackboard.fleet().read().targets().size() < sidecars.size()) {
            if (System.nanoTime() - startNanos > READY_TIMEOUT.toNanos()) {
                throw new IllegalStateException(
                        "not all targets were linked to the entry daemon within " + READY_TIMEOUT);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    private static Configuration configuration() {
        return Configuration.builder(new Revision(1))
                .account(new AccountConfig(new ClientAccountId("local"), List.of(BearerKeys.hash(API_KEY)), 1, 1))
                .model(new ModelConfig(new ModelName(MODEL), DEADLINE))
                .service(new ServiceConfig(new ServiceName(SERVICE), List.of("POST /bookings"), DEADLINE))
                .build();
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
