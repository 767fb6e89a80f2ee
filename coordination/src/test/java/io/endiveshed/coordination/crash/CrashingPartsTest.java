package io.endiveshed.coordination.crash;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.PromptPartId;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class CrashingPartsTest {
    private static final long MILLI = 1_000_000;

    private final CrashingParts parts = new CrashingParts();
    private long nowNanos = 1_000 * MILLI;
    private int engines;

    /** Guards against engines that crash one after the other under one part. */
    @Test
    void partOfEachCrashIsBlocked() {
        answer("system");
        crash("system", "document1", "bad");
        crash("system", "document2", "bad");
        assertThat(decide()).isEmpty();
        crash("system", "document3", "bad");
        assertThat(decide()).containsExactly("bad");
        assertThat(isBlocked("system", "document4", "bad")).isTrue();
        assertThat(isBlocked("system", "document1")).isFalse();
    }

    /** Guards against blocking a part that all prompts share, and with it the whole service. */
    @Test
    void partThatIsAlsoInAnswersIsNotBlocked() {
        for (int i = 0; i < 20; i++) {
            answer("system", "document" + i % 3);
            crash("system", "document" + i % 3, "bad");
            decide();
        }
        assertThat(blocked()).containsExactly("bad");
    }

    /** Guards against blocking what the victims of a crash have in common besides the part at fault. */
    @Test
    void crashesOfABlockedPartAccuseNoOtherPart() {
        for (int i = 0; i < 10; i++) {
            crash("rare", "bad", "other" + i);
            decide();
            crash("bad", "other" + i);
            decide();
        }
        assertThat(blocked()).containsExactly("bad");
    }

    /** Guards against refusing sound prompts after many engines crashed at once for a reason of their own. */
    @Test
    void partOfFewAmongManyCrashesIsNotBlocked() {
        for (int i = 0; i < 7; i++) {
            crash("system", i < 3 ? "rare" : "common" + i);
        }
        answer("system");
        assertThat(decide()).isEmpty();
    }

    /** Guards against counting a crash twice because two entries report it. */
    @Test
    void reportsOfOneCrashAreMerged() {
        for (int i = 0; i < 5; i++) {
            boolean isNew =
                    parts.crashed(new EngineCrash(new InstanceId("engine-1"), 1, Set.of(part("bad"))), nowNanos);
            assertThat(isNew).isEqualTo(i == 0);
        }
        assertThat(decide()).isEmpty();
        assertThat(parts.unexplainedCrashes()).isEqualTo(1);
    }

    /** Guards against a wrong decision between parts that have been in the same crashes so far. */
    @Test
    void decisionBetweenEquallyAccusedPartsWaitsForMoreCrashes() {
        crash("bad", "document1");
        crash("bad", "document1");
        crash("bad", "document1");
        assertThat(decide()).isEmpty();
        crash("bad", "document2");
        assertThat(decide()).containsExactly("bad");
    }

    /** Guards against further crashes in the time in which the reports of other entries are waited for. */
    @Test
    void promptsWaitWhileADecisionIsPending() {
        answer("system");
        crash("system", "bad");
        crash("system", "bad");
        assertThat(isBlocked("system", "bad")).isFalse();
        crash("system", "bad");
        assertThat(isBlocked("system", "bad")).isTrue();
        assertThat(isBlocked("system", "document")).isFalse();
        answer("bad");
        assertThat(isBlocked("system", "bad")).isFalse();
    }

    /** Guards against one more crash although an answer has told equally accused parts apart. */
    @Test
    void answerDecidesBetweenEquallyAccusedParts() {
        crash("bad", "document1");
        crash("bad", "document1");
        crash("bad", "document1");
        assertThat(decide()).isEmpty();
        answer("document1");
        assertThat(decide()).containsExactly("bad");
    }

    /** Guards against a block that stays although an answer has shown that the part is sound. */
    @Test
    void answerEndsABlockAlsoIfOthersStillReportIt() {
        crash("bad");
        crash("bad");
        crash("bad");
        assertThat(decide()).containsExactly("bad");
        BlockedPart report = parts.blocked(nowNanos).get(0);
        assertThat(answer("bad")).containsExactly(part("bad"));
        assertThat(isBlocked("bad")).isFalse();

        parts.blockedElsewhere(report, nowNanos);
        assertThat(isBlocked("bad")).isFalse();
    }

    /** Guards against an entry that has seen no crash, or has been restarted, and sends what others refuse. */
    @Test
    void blockOfAnotherEntryHoldsForTheRestOfItsTime() {
        parts.blockedElsewhere(new BlockedPart(part("bad"), CrashingParts.BLOCK_MILLIS - 10), nowNanos);
        assertThat(parts.blockedMillis(List.of(part("bad")), nowNanos).getAsLong())
                .isEqualTo(10);
        nowNanos += 10 * MILLI;
        assertThat(isBlocked("bad")).isFalse();
    }

    /** Guards against wrong decisions in random orders of crashes, answers and reports of several entries. */
    @Test
    void onlyThePartAtFaultIsBlockedInRandomOrders() {
        for (long seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            CrashingParts entry = new CrashingParts();
            long now = seed * 1_000 * MILLI;
            for (int i = 0; i < 40; i++) {
                entry.answered(List.of(part("system"), part("document" + random.nextInt(8))), now);
            }
            for (int crash = 0; crash < 20; crash++) {
                InstanceId engine = new InstanceId("engine-" + crash);
                Set<PromptPartId> culprit = named("system", "document" + random.nextInt(8), "bad");
                Set<PromptPartId> victims = named("system", "document" + random.nextInt(8), "new" + crash % 6);
                boolean isCulpritFirst = random.nextBoolean();
                entry.crashed(new EngineCrash(engine, 1, isCulpritFirst ? culprit : victims), now);
                now += random.nextInt(80) * MILLI;
                entry.decide(now);
                entry.crashed(new EngineCrash(engine, 1, isCulpritFirst ? victims : culprit), now);
                now += random.nextInt(400) * MILLI;
                entry.answered(List.of(part("system"), part("document" + random.nextInt(8))), now);
                entry.decide(now);
            }
            List<String> blocked = entry.blocked(now).stream()
                    .map(block -> block.part().value())
                    .toList();
            assertThat(blocked).containsExactly("bad");
        }
    }

    private void crash(String... names) {
        engines++;
        parts.crashed(new EngineCrash(new InstanceId("engine-" + engines), 1, named(names)), nowNanos);
        nowNanos += 10 * MILLI;
    }

    private Set<PromptPartId> answer(String... names) {
        nowNanos += 10 * MILLI;
        return parts.answered(named(names), nowNanos);
    }

    private List<String> decide() {
        nowNanos += 200 * MILLI;
        return parts.decide(nowNanos).stream().map(PromptPartId::value).toList();
    }

    private List<String> blocked() {
        return parts.blocked(nowNanos).stream()
                .map(block -> block.part().value())
                .toList();
    }

    private boolean isBlocked(String... names) {
        return parts.blockedMillis(named(names), nowNanos).isPresent();
    }

    private static PromptPartId part(String name) {
        return new PromptPartId(name);
    }

    private static Set<PromptPartId> named(String... names) {
        return Stream.of(names).map(CrashingPartsTest::part).collect(Collectors.toSet());
    }
}
