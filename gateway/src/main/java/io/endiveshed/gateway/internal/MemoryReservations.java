package io.endiveshed.gateway.internal;

import io.endiveshed.base.log.EventLog;
import io.endiveshed.gateway.EngineMemory;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Memory reservations of one request on helper engines: granted before the request is sent, renewed while it runs
 * and released at its end. If the engine of the request does not start it in time, the owner is told to give it up.
 * Confined to one event loop.
 */
final class MemoryReservations {
    /**
     * Lease of a reservation. Together with the time until a dead engine is noticed it stays below the time in which
     * unused memory must be given back, and it outlasts one lost renewal.
     */
    private static final Duration LEASE = Duration.ofMillis(2_200);

    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

    /**
     * Part of the time for which memory may stay reserved unused, after which the request is given up. Engines read a
     * divided prompt ahead of others, so one that has not been started by then probably never will be; the rest of the
     * time covers a lease that has just been renewed.
     */
    private static final double UNUSED_PART = 0.5;

    private final EngineMemory memory;
    private final EventLoop loop;
    private final EventLog log;
    private final String requestId;
    private final TargetRuntime target;
    private final List<Reservation> reservations;
    private final Duration maxUnused;
    private Runnable whenTargetUnresponsive = () -> {};
    private ScheduledFuture<?> renewalTimer;
    private ScheduledFuture<?> useTimer;
    private int pendingCount;
    private boolean hasRefusal;
    private boolean isReleased;

    MemoryReservations(
            EngineMemory memory,
            EventLoop loop,
            EventLog log,
            String requestId,
            TargetRuntime target,
            List<Reservation> reservations,
            Duration maxUnused) {
        this.memory = memory;
        this.loop = loop;
        this.log = log;
        this.requestId = requestId;
        this.target = target;
        this.reservations = List.copyOf(reservations);
        this.maxUnused = maxUnused;
    }

    /**
     * Requests all reservations.
     *
     * @param whenDone called with whether every engine granted its reservation
     * @param whenUnresponsive run once if the target of the request no longer responds or does not start the request
     */
    void reserve(Consumer<Boolean> whenDone, Runnable whenUnresponsive) {
        whenTargetUnresponsive = whenUnresponsive;
        if (reservations.isEmpty()) {
            whenDone.accept(true);
            return;
        }
        pendingCount = reservations.size();
        for (Reservation reservation : reservations) {
            sendReserve(reservation, isHeld -> {
                pendingCount--;
                hasRefusal |= !isHeld;
                if (!isHeld) {
                    logReservation("reservation.refused", reservation);
                }
                if (pendingCount == 0) {
                    scheduleRenewal();
                    scheduleUseCheck((long) (maxUnused.toMillis() * UNUSED_PART));
                    whenDone.accept(!hasRefusal);
                }
            });
        }
    }

    /** Releases all reservations; those whose release is not confirmed expire with their lease. */
    void release() {
        if (isReleased || reservations.isEmpty()) {
            return;
        }
        isReleased = true;
        cancel(renewalTimer);
        cancel(useTimer);
        for (Reservation reservation : reservations) {
            if (!mayCommand(reservation.engine())) {
                logReservation("reservation.left-to-lease", reservation);
                continue;
            }
            memory.release(
                            reservation.engine().client(),
                            reservation.engine().instance().id(),
                            reservation.id())
                    .thenAccept(isConfirmed -> {
                        if (!isConfirmed) {
                            logReservation("reservation.left-to-lease", reservation);
                        }
                    });
        }
    }

    /** Records that the target has started the request, which therefore uses the memory. */
    void started() {
        cancel(useTimer);
        useTimer = null;
    }

    private static void cancel(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void scheduleUseCheck(long delayMillis) {
        if (!isReleased) {
            useTimer = loop.schedule(this::checkUse, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Asks the first helper, whose memory is filled first. */
    private void checkUse() {
        Reservation first = reservations.get(0);
        if (!mayCommand(first.engine())) {
            handleUse(EngineMemory.Use.UNKNOWN);
            return;
        }
        memory.use(first.engine().client(), first.engine().instance().id(), first.id())
                .thenAccept(use -> loop.execute(() -> handleUse(use)));
    }

    private void handleUse(EngineMemory.Use use) {
        if (isReleased || useTimer == null) {
            return;
        }
        switch (use) {
            case USED -> started();
            case UNUSED -> giveUp("the engine has not started the request");
            case UNKNOWN -> scheduleUseCheck(RENEWAL_INTERVAL.toMillis());
        }
    }

    private void giveUp(String reason) {
        log.event("reservation.unused")
                .with("request", requestId)
                .with("target", target.instance().id())
                .with("reason", reason)
                .write();
        whenTargetUnresponsive.run();
    }

    private void scheduleRenewal() {
        if (!isReleased) {
            renewalTimer = loop.schedule(this::checkTargetAndRenew, RENEWAL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Renews without asking a cold engine that may get no request now; a broken connection ends the request anyway. */
    private void checkTargetAndRenew() {
        if (!mayCommand(target)) {
            renewIf(true);
            return;
        }
        memory.isResponding(target.client(), target.instance().id())
                .thenAccept(isResponding -> loop.execute(() -> renewIf(isResponding)));
    }

    /** Renews the reservations if the target responds; otherwise reports it, and the reservations expire. */
    private void renewIf(boolean isTargetResponding) {
        if (isReleased) {
            return;
        }
        if (!isTargetResponding) {
            giveUp("the engine does not respond");
            return;
        }
        for (Reservation reservation : reservations) {
            sendReserve(reservation, isHeld -> {
                if (!isHeld) {
                    logReservation("reservation.not-renewed", reservation);
                }
            });
        }
        scheduleRenewal();
    }

    /** Returns whether a command may be sent to an engine now; those to a cold one count against its rate. */
    private static boolean mayCommand(TargetRuntime engine) {
        return engine.tryAcquireCommand(System.nanoTime());
    }

    private void sendReserve(Reservation reservation, Consumer<Boolean> whenDone) {
        if (!mayCommand(reservation.engine())) {
            whenDone.accept(false);
            return;
        }
        memory.reserve(
                        reservation.engine().client(),
                        reservation.engine().instance().id(),
                        reservation.id(),
                        reservation.tokens(),
                        LEASE)
                .thenAccept(isHeld -> loop.execute(() -> whenDone.accept(isHeld)));
    }

    private void logReservation(String event, Reservation reservation) {
        log.event(event)
                .with("request", requestId)
                .with("target", reservation.engine().instance().id())
                .with("reservation", reservation.id())
                .with("tokens", reservation.tokens())
                .write();
    }

    /**
     * Reservation of memory on one engine.
     *
     * @param engine engine that holds the memory
     * @param id reservation id, unique among all entries
     * @param tokens memory in tokens
     */
    record Reservation(TargetRuntime engine, String id, long tokens) {}
}
