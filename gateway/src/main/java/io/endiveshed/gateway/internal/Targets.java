package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.limit.ColdStartGate;
import io.endiveshed.coordination.limit.TargetLimit;
import io.endiveshed.coordination.service.ColdStart;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.coordination.service.TargetList;
import io.endiveshed.net.http.DiscardedResponse;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.HttpClientOptions;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The targets of all services, kept in step with the platform's list. Confined to one event loop. */
final class Targets implements FeedFollower.Listener<TargetInstance> {
    /** Maximum number of missing targets whose restrictions are kept; about twice the targets of a large fleet. */
    private static final int MAX_MISSING = 512;

    private final EventLoopGroup loops;
    private final EventLoop loop;
    private final HttpClientOptions clientOptions;
    private final EventLog log;
    private final Consumer<TargetRuntime> whenGone;
    private final TargetList list;
    private final Map<InstanceId, TargetRuntime> runtimesById = new HashMap<>();

    /** Restrictions of targets that are missing from the list; a target may be listed again in the same incarnation. */
    private final Map<TargetIncarnation, Restrictions> restrictionsOfMissing = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetIncarnation, Restrictions> eldest) {
            return size() > MAX_MISSING;
        }
    };

    private Function<ServiceName, ColdStart> coldStarts = service -> ColdStart.NONE;
    private Consumer<TargetRuntime> whenAdded = added -> {};
    private BiConsumer<TargetInstance, DiscardedResponse> whenDiscarded = (target, response) -> {};
    private boolean isListed;
    private Map<ServiceName, List<TargetRuntime>> usableByService = Map.of();

    /**
     * Creates an empty set of targets.
     *
     * @param loops event loops of the connections
     * @param loop one of them, on which the set is updated
     * @param clientOptions options of the connections
     * @param contactWindow time after a failure from which the platform's bounds hold again
     * @param log structured log
     * @param whenGone called with each target that is no longer listed, or was started again, without an announced
     *     shutdown
     */
    Targets(
            EventLoopGroup loops,
            EventLoop loop,
            HttpClientOptions clientOptions,
            Duration contactWindow,
            EventLog log,
            Consumer<TargetRuntime> whenGone) {
        this.loops = loops;
        this.loop = loop;
        this.list = new TargetList(contactWindow);
        this.clientOptions = clientOptions;
        this.log = log;
        this.whenGone = whenGone;
    }

    /** Sets how the targets of each service start, and an action for each target before it gets its first request. */
    void limitCold(Function<ServiceName, ColdStart> coldStartOfService, Consumer<TargetRuntime> action) {
        coldStarts = coldStartOfService;
        whenAdded(action);
    }

    /** Adds an action that runs for each new target before it gets its first request. */
    void whenAdded(Consumer<TargetRuntime> action) {
        whenAdded = whenAdded.andThen(action);
    }

    /** Sets an action for each response of a target that belongs to no request; must be called before the first target. */
    void whenDiscarded(BiConsumer<TargetInstance, DiscardedResponse> action) {
        whenDiscarded = action;
    }

    /** Returns whether this entry has read the list of targets. */
    boolean isListed() {
        return isListed;
    }

    /** Returns the failure domains of all targets, usable or not. */
    Set<FailureDomain> domains() {
        return runtimesById.values().stream()
                .map(target -> target.instance().domain())
                .collect(Collectors.toSet());
    }

    /** Returns the targets of a service that may get new requests, in an order that is the same in all entries. */
    List<TargetRuntime> usableOf(ServiceName service) {
        return usableByService.getOrDefault(service, List.of());
    }

    /** Returns a target that is listed or still finishes its last requests; null if there is none. */
    TargetRuntime find(InstanceId id) {
        return runtimesById.get(id);
    }

    /** Returns the target that listens on an address. */
    Optional<TargetRuntime> findAt(Endpoint endpoint) {
        return runtimesById.values().stream()
                .filter(target -> target.instance().endpoint().equals(endpoint))
                .findFirst();
    }

    /** Returns all targets, usable or not. */
    Iterable<TargetRuntime> all() {
        return runtimesById.values();
    }

    /** Returns whether no service has a usable target. */
    boolean hasNoneUsable() {
        return usableByService.isEmpty();
    }

    @Override
    public void listed(FeedBatch<TargetInstance> batch) {
        List<TargetInstance> targets = new ArrayList<>();
        batch.events().forEach(event -> event.value().ifPresent(targets::add));
        list.replaceAll(targets, System.nanoTime());
        updateRuntimes("list", batch.upTo());
        observeColdTimes(batch, false);
        isListed = true;
    }

    @Override
    public void changed(FeedBatch<TargetInstance> batch) {
        for (FeedEvent<TargetInstance> event : batch.events()) {
            if (event.value().isPresent()) {
                list.put(event.value().get());
            } else {
                runtimesById.keySet().stream()
                        .filter(id -> id.value().equals(event.name()))
                        .findFirst()
                        .ifPresent(id -> list.remove(id, System.nanoTime()));
            }
        }
        if (!batch.events().isEmpty()) {
            updateRuntimes("watch", batch.upTo());
            observeColdTimes(batch, true);
        }
    }

    /** Passes on what the objects of targets say of their cold time, before any request is sent on their account. */
    private void observeColdTimes(FeedBatch<TargetInstance> batch, boolean isWritten) {
        for (FeedEvent<TargetInstance> event : batch.events()) {
            event.value().ifPresent(target -> {
                TargetRuntime runtime = runtimesById.get(target.id());
                if (runtime != null && !isOtherIncarnation(runtime.instance(), target)) {
                    target.cold()
                            .ifPresent(reading -> runtime.cold().observeStored(reading, event.version(), isWritten));
                }
            });
        }
    }

    @Override
    public void storeRegained(ClockReading lastFailureStart) {
        list.storeRegained(lastFailureStart.monotonicNanos(), System.nanoTime());
    }

    @Override
    public void storeRestored() {
        list.storeRestored(System.nanoTime());
    }

    /** Keeps new requests away from a target that leaves; a list that shows it as ready does not change that. */
    private void markLeaving(TargetRuntime leaving) {
        TargetInstance instance = leaving.instance();
        if (runtimesById.get(instance.id()) != leaving) {
            return;
        }
        list.markLeaving(instance);
        logChange("target.changed", instance, false, "answer", -1);
        indexUsable();
    }

    /** Removes the targets that have been missing from the list for longer than their grace period. */
    private void removeExpired() {
        if (list.removeExpired(System.nanoTime())) {
            updateRuntimes("expiry", -1);
        }
    }

    /** Brings the runtimes in line with the list and logs the changes, with their cause and version of the store. */
    private void updateRuntimes(String cause, long version) {
        for (TargetInstance target : list.targets()) {
            TargetRuntime runtime = runtimesById.get(target.id());
            boolean isUsable = list.isUsable(target);
            if (runtime != null && isOtherIncarnation(runtime.instance(), target)) {
                remove(runtime);
                runtime = null;
            }
            if (runtime == null) {
                Restrictions restrictions = restrictionsOf(target);
                runtime = new TargetRuntime(
                        target,
                        new HttpClient(
                                loops,
                                target.endpoint().socketAddress(),
                                clientOptions,
                                response -> whenDiscarded.accept(target, response)),
                        restrictions.limit,
                        restrictions.cold,
                        this::markLeaving);
                runtimesById.put(target.id(), runtime);
                whenAdded.accept(runtime);
                logChange("target.added", target, isUsable, cause, version);
            } else if (runtime.isUsable() != isUsable) {
                logChange("target.changed", target, isUsable, cause, version);
            }
            runtime.update(target, isUsable);
        }
        for (TargetRuntime runtime : List.copyOf(runtimesById.values())) {
            if (list.target(runtime.instance().id()).isEmpty()) {
                remove(runtime);
                logChange("target.removed", runtime.instance(), false, cause, version);
            }
        }
        indexUsable();
        list.nextExpiryNanos()
                .ifPresent(
                        expiry -> loop.schedule(this::removeExpired, expiry - System.nanoTime(), TimeUnit.NANOSECONDS));
    }

    private void remove(TargetRuntime runtime) {
        runtimesById.remove(runtime.instance().id());
        if (runtime.limit().requestsPerSecond().isPresent() || runtime.cold().isLimited()) {
            restrictionsOfMissing.put(
                    TargetIncarnation.of(runtime.instance()), new Restrictions(runtime.limit(), runtime.cold()));
        }
        if (runtime.isUsable()) {
            whenGone.accept(runtime);
        }
        runtime.update(runtime.instance(), false);
        runtime.client().stop();
    }

    /** Returns the restrictions of an incarnation; one that was not listed at first has started since. */
    private Restrictions restrictionsOf(TargetInstance target) {
        Restrictions known = restrictionsOfMissing.remove(TargetIncarnation.of(target));
        if (known != null) {
            return known;
        }
        ColdStartGate cold = new ColdStartGate(target.id(), () -> coldStarts.apply(target.service()));
        if (isListed) {
            cold.observeStart(System.nanoTime());
        }
        return new Restrictions(new TargetLimit(), cold);
    }

    private void indexUsable() {
        Map<ServiceName, List<TargetRuntime>> index = new HashMap<>();
        for (TargetRuntime runtime : runtimesById.values()) {
            if (runtime.isUsable()) {
                index.computeIfAbsent(runtime.instance().service(), service -> new ArrayList<>())
                        .add(runtime);
            }
        }
        Comparator<TargetRuntime> byId =
                Comparator.comparing(runtime -> runtime.instance().id());
        index.values().forEach(targets -> targets.sort(byId));
        usableByService = index;
    }

    /** Returns whether the same id now belongs to another incarnation, which shares no requests and connections. */
    private static boolean isOtherIncarnation(TargetInstance before, TargetInstance now) {
        return before.startedMillis() != now.startedMillis()
                || !before.endpoint().equals(now.endpoint())
                || !before.service().equals(now.service());
    }

    /** One process lifetime of a target at one address. */
    private record TargetIncarnation(InstanceId id, long startedMillis, Endpoint endpoint) {
        private static TargetIncarnation of(TargetInstance target) {
            return new TargetIncarnation(target.id(), target.startedMillis(), target.endpoint());
        }
    }

    /** What is known of an incarnation beyond the list. */
    private record Restrictions(TargetLimit limit, ColdStartGate cold) {}

    private void logChange(String event, TargetInstance target, boolean isUsable, String cause, long version) {
        log.change(event)
                .with("target", target.id())
                .with("service", target.service())
                .with("address", target.endpoint())
                .with("usable", isUsable)
                .with("cause", cause)
                .with("version", version)
                .write();
    }
}
