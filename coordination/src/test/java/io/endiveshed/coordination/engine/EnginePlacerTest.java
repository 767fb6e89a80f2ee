package io.endiveshed.coordination.engine;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class EnginePlacerTest {
    private static final EngineCostModel PROFILE =
            new EngineCostModel(11, 405_000, 1.31, 0.0013, 0.00213, 154, 0.162, 2048, 34, 0.1);
    private static final long MILLI = 1_000_000L;
    private static final int OWNER = 0;

    private final EnginePlacer placer = new EnginePlacer();
    private final List<EngineCandidate> engines = new ArrayList<>();
    private long number;

    EnginePlacerTest() {
        for (int i = 0; i < 8; i++) {
            engines.add(new EngineCandidate(
                    new InstanceId("engine-" + i),
                    new FailureDomain("north"),
                    false,
                    11,
                    new EngineBacklog(),
                    true,
                    0));
        }
    }

    /** Guards against a short prompt that waits behind a long one while another engine is idle. */
    @Test
    void shortPromptAvoidsEnginesThatPrefillALongOne() {
        EnginePlacement busy = place(longPrompt(60_000));
        add(busy, longPrompt(60_000));
        Set<InstanceId> prefilling = ids(busy);
        for (int i = 0; i < 4; i++) {
            EnginePlacement placed = place(shortPrompt());
            assertThat(prefilling).doesNotContain(placed.primary().id());
            add(placed, shortPrompt());
        }
    }

    /** Guards against a long prompt that is late on one engine although several together prefill it in time. */
    @Test
    void longPromptIsDividedAmongAsFewEnginesAsMeetItsObjective() {
        EnginePlacement placed = place(longPrompt(250_000));
        assertThat(placed.firstEventMillis()).isLessThan(3_000.0);
        assertThat(placed.helpers().size()).isAtLeast(1);
        assertThat(placed.helpers().size()).isAtMost(4);
        assertThat(place(longPrompt(60_000)).helpers()).isEmpty();
    }

    /** Guards against a prompt larger than any engine's memory that is sent undivided, or refused. */
    @Test
    void promptLargerThanOneEnginesMemoryIsHeldInParts() {
        EnginePlacement placed = place(longPrompt(600_000));
        assertThat(placed.holderCount()).isAtLeast(1);
        assertThat(placed.partTokens() * (placed.holderCount() + 1)).isAtLeast(600_000L);
        assertThat(placed.partTokens()).isLessThan(PROFILE.kvCapacityTokens());
        assertThat(ids(placed)).hasSize(1 + placed.helpers().size());
    }

    /** Guards against a request that is queued although all engines are busy until after its caller has left. */
    @Test
    void refusesPromptThatCannotStartInTimeWithARetryDelay() {
        for (EngineCandidate engine : engines) {
            engine.backlog().add(task(4_000, 5_000, 1000, 200_000), 4_000, false, 0);
        }
        Either<Long, EnginePlacement> answer = placer.place(PROFILE, shortPrompt(), engines.subList(0, 1), 0, 0);
        assertThat(answer.isLeft()).isTrue();
        assertThat(answer.getLeft()).isAtLeast(3_000L);
        assertThat(answer.getLeft()).isAtMost(4_000L);
    }

    /** Guards against a short prompt that waits, or is refused, because all engines prefill long prompts. */
    @Test
    void shortPromptIsDividedIfItWouldWaitBehindLongOnes() {
        for (EngineCandidate engine : engines) {
            engine.backlog().add(task(4_000, 5_000, 1000, 200_000), 4_000, false, 0);
        }
        EnginePlacement placed = place(shortPrompt());
        assertThat(placed.helpers()).hasSize(1);
        assertThat(placed.firstEventMillis()).isLessThan(300.0);
    }

    /** Guards against predictions that ignore that a divided prompt delays all queued prefill of its engines. */
    @Test
    void dividedPromptDelaysQueuedTasks() {
        EngineBacklog backlog = engines.get(0).backlog();
        backlog.add(task(1_000, 2_000, 1000, 200_000), 1_000, false, 0);
        backlog.add(task(500, 2_000, 1000, 100_000), 500, true, 0);
        backlog.add(task(300, 2_000, 1000, 100_000), 300, true, 0);
        assertThat(backlog.tasks().get(0).firstEventNanos()).isEqualTo(1_800 * MILLI);
        assertThat(backlog.tasks().get(1).firstEventNanos()).isEqualTo(800 * MILLI);
        assertThat(backlog.tasks().get(2).firstEventNanos()).isEqualTo(300 * MILLI);
        assertThat(backlog.prefillEndNanos()).isEqualTo(1_800 * MILLI);
    }

    /** Guards against a long prompt that is prefilled first and makes the caller of a queued prompt give up. */
    @Test
    void longPromptAvoidsEnginesWhoseCallersWouldGiveUp() {
        for (EngineCandidate engine : engines.subList(0, 4)) {
            engine.backlog()
                    .add(
                            new EngineTask(
                                    OWNER,
                                    7,
                                    3_500 * MILLI,
                                    5_000 * MILLI,
                                    3_000 * MILLI,
                                    4_000 * MILLI,
                                    1000,
                                    200_000,
                                    5_000,
                                    true),
                            3_500,
                            false,
                            0);
        }
        for (InstanceId id : ids(place(longPrompt(150_000)))) {
            assertThat(Integer.parseInt(id.value().substring("engine-".length())))
                    .isAtLeast(4);
        }
    }

    /** Guards against entries of several failure domains that choose the same engine at the same moment. */
    @Test
    void idleEngineOfTheOwnFailureDomainIsPreferred() {
        for (String own : List.of("north", "south")) {
            List<EngineCandidate> candidates = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                String domain = i % 2 == 0 ? "north" : "south";
                candidates.add(new EngineCandidate(
                        new InstanceId("engine-" + i),
                        new FailureDomain(domain),
                        !domain.equals(own),
                        11,
                        new EngineBacklog(),
                        true,
                        0));
            }
            EnginePlacement placed =
                    placer.place(PROFILE, shortPrompt(), candidates, 0, 0).get();
            assertThat(placed.primary().domain()).isEqualTo(new FailureDomain(own));
        }
    }

    /** Guards against callers who wait in their failure domain while engines elsewhere are idle. */
    @Test
    void engineOfAnotherFailureDomainIsChosenIfTheOwnOnesAreBusy() {
        List<EngineCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            boolean isOther = i >= 4;
            EngineBacklog backlog = new EngineBacklog();
            if (!isOther) {
                backlog.add(task(1_500, 3_000, 1000, 100_000), 1_500, false, 0);
            }
            candidates.add(new EngineCandidate(
                    new InstanceId("engine-" + i),
                    new FailureDomain(isOther ? "south" : "north"),
                    isOther,
                    11,
                    backlog,
                    true,
                    4));
        }
        EnginePlacement placed =
                placer.place(PROFILE, shortPrompt(), candidates, 0, 0).get();
        assertThat(placed.primary().domain()).isEqualTo(new FailureDomain("south"));
    }

    /** Guards against refusing callers in a burst while engines still have free slots. */
    @Test
    void spareSlotsAreUsedBeforeAnyPromptIsRefused() {
        int placed = 0;
        while (placed < 1_000) {
            Either<Long, EnginePlacement> answer = placer.place(PROFILE, shortPrompt(), engines, 0.3, 0);
            if (answer.isLeft()) {
                break;
            }
            add(answer.get(), new PromptRequest(0, 1_300, 300, 2_000, 250));
            placed++;
        }
        assertThat(placed).isEqualTo(engines.size() * PROFILE.slots());
    }

    /** Guards against a prefill that makes short streams pause although idle engines are available. */
    @Test
    void longPromptAvoidsEnginesWithShortStreams() {
        for (int i = 0; i < 4; i++) {
            for (int j = 0; j < 4; j++) {
                engines.get(i).backlog().add(task(-1, 3_000, 250, 18_000), 0, false, 0);
            }
        }
        EnginePlacement placed = place(longPrompt(150_000));
        for (InstanceId id : ids(placed)) {
            assertThat(Integer.parseInt(id.value().substring("engine-".length())))
                    .isAtLeast(4);
        }
    }

    private EnginePlacement place(PromptRequest request) {
        return placer.place(PROFILE, request, engines, 0.3, 0).get();
    }

    private void add(EnginePlacement placed, PromptRequest request) {
        number++;
        long first = (long) (placed.firstEventMillis() * MILLI);
        placed.primary()
                .backlog()
                .add(
                        new EngineTask(
                                OWNER,
                                number,
                                first,
                                first + 1_700 * MILLI,
                                first * 2,
                                first * 4,
                                request.maxPauseMillis(),
                                request.weight(),
                                request.promptTokens(),
                                true),
                        placed.prefillMillis(),
                        !placed.helpers().isEmpty(),
                        0);
    }

    private EngineTask task(long firstMillis, long endMillis, double pause, double weight) {
        number++;
        return new EngineTask(
                OWNER,
                number,
                firstMillis * MILLI,
                endMillis * MILLI,
                (firstMillis + 500) * MILLI,
                (firstMillis + 8_000) * MILLI,
                pause,
                weight,
                5_000,
                true);
    }

    private static Set<InstanceId> ids(EnginePlacement placed) {
        Set<InstanceId> ids = new HashSet<>();
        ids.add(placed.primary().id());
        placed.helpers().forEach(helper -> ids.add(helper.id()));
        return ids;
    }

    private static PromptRequest shortPrompt() {
        return new PromptRequest(5_000, 1_300, 300, 2_000, 250);
    }

    private static PromptRequest longPrompt(long tokens) {
        return new PromptRequest(tokens, 650, 3_000, 12_000, 1_000);
    }
}
