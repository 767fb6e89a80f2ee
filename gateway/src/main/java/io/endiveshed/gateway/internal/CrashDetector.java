package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.crash.RequestTrait;
import io.endiveshed.coordination.crash.TargetCrash;
import io.endiveshed.net.http.Reachability;
import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Tells crashes of targets from answers that only broke off. Confined to one event loop.
 *
 * <p>After a broken or missing answer the target is connected to. One that accepts the connection has not crashed, and
 * one that refuses it has. Without a reply the target may be cut off from this entry alone: it has crashed if the
 * platform then lists another incarnation of it, or none although it did not announce its shutdown.
 *
 * <pre>{@code
 * CrashDetector detector = new CrashDetector(target -> target.client().probe(), loop, System::nanoTime, this::crashed);
 * detector.attemptBroken(target, traits);
 * }</pre>
 */
final class CrashDetector {
    /** Maximum number of attempts to connect to a target that does not reply; a lost packet costs one of them. */
    private static final int MAX_PROBES = 4;

    /**
     * Time in milliseconds after a broken answer in which an accepted connection shows that the target still runs. A
     * crashed target is started again after some seconds.
     */
    private static final long MAX_PROBE_MILLIS = 1_000;

    /**
     * Time in milliseconds after a broken answer in which the list may show that its target has crashed; the platform
     * removes the entries of silent targets after three heartbeats.
     */
    private static final long MAX_LIST_DELAY_MILLIS = 10_000;

    private final TargetProbe probe;
    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final Consumer<TargetCrash> whenCrashed;
    private final Map<TargetRuntime, BrokenAttempts> undecided = new HashMap<>();

    /**
     * Creates a detector.
     *
     * @param probe connects to targets
     * @param loop event loop to which the detector is confined
     * @param nanoClock monotonic clock in nanoseconds
     * @param whenCrashed called with each crash that was found; more than once if more requests of a crash are found
     */
    CrashDetector(TargetProbe probe, EventLoop loop, LongSupplier nanoClock, Consumer<TargetCrash> whenCrashed) {
        this.probe = probe;
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.whenCrashed = whenCrashed;
    }

    /** Finds out whether a target has crashed whose answer to a request with the given traits broke off or is missing. */
    void attemptBroken(TargetRuntime target, Collection<RequestTrait> traits) {
        BrokenAttempts broken = undecided.get(target);
        if (broken != null) {
            broken.traits.addAll(traits);
            return;
        }
        BrokenAttempts first = new BrokenAttempts(traits, nanoClock.getAsLong());
        undecided.put(target, first);
        loop.schedule(() -> undecided.remove(target, first), MAX_LIST_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        probe(target, first);
    }

    /** Records that the list no longer has a target, or has another incarnation of it, without an announced shutdown. */
    void targetGone(TargetRuntime target) {
        BrokenAttempts broken = undecided.remove(target);
        if (broken != null) {
            report(target, broken);
        }
    }

    private void probe(TargetRuntime target, BrokenAttempts broken) {
        broken.probes++;
        probe.probe(target).thenAccept(result -> loop.execute(() -> probed(target, broken, result)));
    }

    private void probed(TargetRuntime target, BrokenAttempts broken, Reachability result) {
        if (undecided.get(target) != broken) {
            return;
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - broken.sinceNanos);
        if (result == Reachability.REFUSING) {
            undecided.remove(target);
            report(target, broken);
        } else if (result == Reachability.ACCEPTING && elapsedMillis <= MAX_PROBE_MILLIS) {
            undecided.remove(target);
        } else if (result == Reachability.UNKNOWN && broken.probes < MAX_PROBES) {
            probe(target, broken);
        }
    }

    private void report(TargetRuntime target, BrokenAttempts broken) {
        whenCrashed.accept(
                new TargetCrash(target.instance().id(), target.instance().startedMillis(), broken.traits));
    }

    /** Attempts at one target whose answers broke off or are missing, while it is not known whether it has crashed. */
    private static final class BrokenAttempts {
        private final Set<RequestTrait> traits;
        private final long sinceNanos;
        private int probes;

        private BrokenAttempts(Collection<RequestTrait> traits, long sinceNanos) {
            this.traits = new HashSet<>(traits);
            this.sinceNanos = sinceNanos;
        }
    }
}
