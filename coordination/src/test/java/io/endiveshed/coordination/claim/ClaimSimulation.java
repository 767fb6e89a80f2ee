package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.IdempotencyKey;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.base.id.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** A seeded run of several sidecars and entries that share a store, with faults of all of them. */
final class ClaimSimulation {
    static final ServiceName SERVICE = new ServiceName("depot-app");
    private static final int SIDECARS = 3;
    private static final int KEYS = 8;
    private static final int CALLS = 40;
    private static final int FAULT_MILLIS = 4_000;
    private static final int DEADLINE_MILLIS = 600;

    /** Time after the last fault within which every call must have been answered. */
    private static final Duration SETTLE = Duration.ofSeconds(60);

    private final VirtualTime time = new VirtualTime();
    private final ClaimHistory history = new ClaimHistory();
    private final ClaimSettings settings = ClaimSettings.builder()
            .partitions(2)
            .ringSlots(6)
            .commitInterval(Duration.ofMillis(5))
            .build();
    private final Random random;
    private final FakeObjectStore store;
    private final Defect defect;
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();

    ClaimSimulation(long seed, Defect defect) {
        this.random = new Random(seed);
        this.defect = defect;
        double severity = random.nextDouble();
        this.store = new FakeObjectStore(
                time,
                random,
                new FakeObjectStore.Faults(0.1 * severity, 0.3 * severity, 1 + random.nextInt(30), 1_500));
        if (defect == Defect.STORE_IGNORES_CONDITIONS) {
            store.ignoreConditions();
        }
    }

    /** Planted violations. */
    enum Defect {
        NONE,
        /** The store does not check versions, so two writers both get the same entry. */
        STORE_IGNORES_CONDITIONS,
        /** The entry says {@code not_run} at its deadline without a proof. */
        NOT_RUN_WITHOUT_REVOKE,
        /** The sidecar answers a repeated key with the repeated attempt's own answer. */
        ANSWERS_WITH_OWN_ATTEMPT,
        /** Sidecars never give back a claim. */
        CLAIM_KEPT,
        /** The entry waits for the sidecar without a deadline. */
        NO_DEADLINE
    }

    ClaimHistory run() {
        for (int i = 0; i < SIDECARS; i++) {
            sidecars.add(newSidecar());
        }
        for (int i = 0; i < CALLS; i++) {
            time.afterMillis(random.nextInt(FAULT_MILLIS), this::call);
        }
        for (int i = 0; i < 4; i++) {
            time.afterMillis(random.nextInt(FAULT_MILLIS), this::replaceOne);
            time.afterMillis(random.nextInt(FAULT_MILLIS), () -> any().pause(random.nextInt(2_000)));
        }
        time.afterMillis(random.nextInt(FAULT_MILLIS), () -> {
            store.outage(true);
            time.afterMillis(random.nextInt(1_500), () -> store.outage(false));
        });
        time.run(Duration.ofMillis(FAULT_MILLIS).plus(SETTLE));
        store.faults(FakeObjectStore.Faults.NONE);
        for (int number = 0; number < KEYS; number++) {
            for (SimulatedSidecar sidecar : sidecars) {
                askAgain(sidecar, number);
            }
        }
        time.run(SETTLE);
        return history;
    }

    /** Checks that the log is usable after the faults and that no live sidecar holds a claim that it gave up. */
    private void askAgain(SimulatedSidecar sidecar, int number) {
        sidecar.log()
                .claim(key(number), new AttemptId(RequestId.random(random), 1), digest(number), SETTLE)
                .thenAccept(decision -> history.decidedAfterFaults(key(number), decision, isHeldByLive(decision)));
    }

    private boolean isHeldByLive(ClaimDecision decision) {
        return decision instanceof ClaimDecision.Held held
                && sidecars.stream().anyMatch(sidecar -> sidecar.incarnation().equals(held.holder()));
    }

    private static ClaimKey key(int number) {
        return new ClaimKey(new ClientAccountId("ferry"), SERVICE, new IdempotencyKey("key-" + number));
    }

    private static byte[] digest(int number) {
        return new byte[] {(byte) number};
    }

    private SimulatedSidecar newSidecar() {
        return new SimulatedSidecar(time, random, store, SERVICE, settings, history, defect != Defect.CLAIM_KEPT);
    }

    private void replaceOne() {
        int index = random.nextInt(SIDECARS);
        sidecars.get(index).crash();
        sidecars.set(index, newSidecar());
    }

    private SimulatedSidecar any() {
        return sidecars.get(random.nextInt(SIDECARS));
    }

    private void call() {
        int number = random.nextInt(KEYS);
        ClaimKey key = new ClaimKey(new ClientAccountId("ferry"), SERVICE, new IdempotencyKey("key-" + number));
        AttemptId attempt = new AttemptId(RequestId.random(random), 1);
        byte[] digest = digest(random.nextInt(20) == 0 ? 100 : number);
        history.asked(key, attempt);
        SimulatedSidecar sidecar = any();
        // One dispatch in ten arrives after the deadline of its call.
        int delay = random.nextInt(10) == 0 ? DEADLINE_MILLIS + random.nextInt(1_500) : random.nextInt(10);
        time.afterMillis(delay, () -> sidecar.dispatch(key, attempt, digest, replyTo(attempt)));
        if (defect != Defect.NO_DEADLINE) {
            time.afterMillis(DEADLINE_MILLIS, () -> timedOut(key, attempt, sidecar));
        }
    }

    private Consumer<ClaimHistory.Reply> replyTo(AttemptId attempt) {
        return reply -> history.replied(
                attempt,
                defect == Defect.ANSWERS_WITH_OWN_ATTEMPT && reply instanceof ClaimHistory.Reply.Answer
                        ? new ClaimHistory.Reply.Answer(attempt.toString())
                        : reply);
    }

    private void timedOut(ClaimKey key, AttemptId attempt, SimulatedSidecar first) {
        if (history.isAnswered(attempt)) {
            return;
        }
        if (defect == Defect.NOT_RUN_WITHOUT_REVOKE) {
            history.replied(attempt, new ClaimHistory.Reply.NotRun());
            return;
        }
        SimulatedSidecar asked = first.isCrashed() || random.nextBoolean() ? any() : first;
        asked.revoke(
                key,
                attempt,
                outcome -> history.replied(
                        attempt,
                        outcome == RevokeOutcome.REVOKED
                                ? new ClaimHistory.Reply.NotRun()
                                : new ClaimHistory.Reply.Unknown()));
        // A sidecar that does not answer the revoke leaves the outcome open.
        time.afterMillis(2 * DEADLINE_MILLIS, () -> history.replied(attempt, new ClaimHistory.Reply.Unknown()));
    }
}
