package io.endiveshed.coordination.crash;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.crash.RequestTrait.Kind;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class CrashSuspectsTest {
    private static final long MILLI = 1_000_000;

    private final CrashSuspects suspects = new CrashSuspects();
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
        answer("system");
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
                    suspects.crashed(new TargetCrash(new InstanceId("engine-1"), 1, Set.of(part("bad"))), nowNanos);
            assertThat(isNew).isEqualTo(i == 0);
        }
        assertThat(decide()).isEmpty();
        assertThat(suspects.unexplainedCrashes(nowNanos)).isEqualTo(1);
    }

    /** Guards against a wrong decision between parts that have been in the same crashes so far. */
    @Test
    void decisionBetweenEquallyAccusedPartsWaitsForMoreCrashes() {
        answer("system");
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
        answer("system");
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
        answer("system");
        crash("bad");
        crash("bad");
        crash("bad");
        assertThat(decide()).containsExactly("bad");
        BlockedTrait report = suspects.blocked(nowNanos).get(0);
        assertThat(answer("bad")).containsExactly(part("bad"));
        assertThat(isBlocked("bad")).isFalse();

        suspects.blockedElsewhere(report, nowNanos);
        assertThat(isBlocked("bad")).isFalse();
    }

    /** Guards against an entry that has seen no crash, or has been restarted, and sends what others refuse. */
    @Test
    void blockOfAnotherEntryHoldsForTheRestOfItsTime() {
        suspects.blockedElsewhere(new BlockedTrait(part("bad"), CrashSuspects.BLOCK_MILLIS - 10, 10), nowNanos);
        assertThat(suspects.findBlock(List.of(part("bad")), nowNanos)
                        .orElseThrow()
                        .remainingMillis())
                .isEqualTo(10);
        nowNanos += 10 * MILLI;
        assertThat(isBlocked("bad")).isFalse();
    }

    /** Guards against an entry that has just started and refuses all prompts for a part that all of them share. */
    @Test
    void partIsNotBlockedSoonIfNoPromptWasAnsweredYet() {
        for (int i = 0; i < 7; i++) {
            assertThat(decide()).isEmpty();
            crash("system", "request-" + i);
        }
        assertThat(decide()).isEmpty();
        crash("system", "request-7");
        assertThat(decide()).containsExactly("system");
    }

    /** Guards against a request that comes again and crashes target after target beside prompts with its part. */
    @Test
    void requestOfEachCrashIsBlockedAlthoughItsPartIsInAnswers() {
        for (int i = 0; i < 3; i++) {
            answer("system", "request-sound" + i);
            crash("system", "request-bad");
            answer("system", "request-other" + i);
        }
        assertThat(decide()).containsExactly("request-bad");
        answer("system", "request-sound9");
        assertThat(isBlocked("request-bad")).isTrue();
        assertThat(isBlocked("system", "request-sound1")).isFalse();
    }

    /** Guards against refusing prompts for a part that they share with a request under which targets crash. */
    @Test
    void partOfARequestThatCrashesTargetsIsNotBlocked() {
        for (int i = 0; i < 5; i++) {
            crash("rare", "request-bad");
            decide();
        }
        assertThat(blocked()).containsExactly("request-bad");
    }

    /** Guards against a request that crashes more targets because another one was in the same crashes so far. */
    @Test
    void requestsOfTheSameCrashesAreBlockedForAShortTime() {
        crash("request-bad", "request-sound");
        crash("request-bad", "request-sound");
        crash("request-bad", "request-sound");
        assertThat(decide()).containsExactly("request-bad", "request-sound");
        assertThat(suspects.blocked(nowNanos).get(0).remainingMillis()).isAtMost(CrashSuspects.BLOCK_MILLIS / 5);
    }

    /** Guards against refusing a sound request that was answered before and ran beside the one at fault. */
    @Test
    void requestThatWasAnsweredBeforeIsSparedIfAnotherOneExplainsTheSameCrashes() {
        answer("request-sound");
        crash("request-bad", "request-sound");
        crash("request-bad", "request-sound");
        crash("request-bad", "request-sound");
        assertThat(decide()).containsExactly("request-bad");
        assertThat(isBlocked("request-sound")).isFalse();
    }

    /** Guards against a sound request that stays refused after it is known that another one explains its crashes. */
    @Test
    void blockIsLiftedOnceAnotherRequestExplainsItsCrashes() {
        crash("request-bad", "request-sound");
        crash("request-bad", "request-sound");
        crash("request-sound");
        assertThat(decide()).containsExactly("request-sound");
        crash("request-bad");
        crash("request-bad");
        assertThat(decide()).containsExactly("request-bad");
        assertThat(isBlocked("request-sound")).isFalse();
    }

    /** Guards against a sound request that stays refused although it was answered after all of its crashes. */
    @Test
    void answerAfterTheCrashesThatIsKnownAfterTheBlockLiftsIt() {
        for (int i = 0; i < 3; i++) {
            crash("request-sound");
        }
        nowNanos += MILLI;
        long answeredNanos = nowNanos;
        assertThat(decide()).containsExactly("request-sound");
        assertThat(suspects.answered(named("request-sound"), answeredNanos)).isNotEmpty();
        assertThat(isBlocked("request-sound")).isFalse();
    }

    /** Guards against targets that crash for ever because two requests always come together. */
    @Test
    void requestsThatAlwaysCrashTargetsTogetherAreBlockedForLonger() {
        for (int i = 0; i < 5; i++) {
            crash("request-1", "request-2");
        }
        assertThat(decide()).containsExactly("request-1", "request-2");
        assertThat(suspects.blocked(nowNanos).get(0).remainingMillis()).isEqualTo(CrashSuspects.BLOCK_MILLIS);
    }

    /** Guards against two requests that crash targets in turn and hide each other. */
    @Test
    void eachOfTwoRequestsThatCrashTargetsIsBlocked() {
        for (int i = 0; i < 3; i++) {
            crash("request-1", "request-sound" + i);
            crash("request-2");
            crash("request-other" + i);
        }
        assertThat(decide()).containsExactly("request-1", "request-2");
    }

    /** Guards against repeats that pass as other requests because their query changes. */
    @Test
    void pathIsBlockedIfTargetsCrashUnderEachOfItsQueries() {
        crash("request-query1", "path-bad");
        crash("request-query2", "path-bad");
        assertThat(decide()).isEmpty();
        crash("request-query3", "path-bad");
        assertThat(decide()).containsExactly("path-bad");
    }

    /** Guards against refusing all queries of a path because targets crash under one of them. */
    @Test
    void pathIsNotBlockedIfTargetsCrashUnderOneOfItsQueriesOnly() {
        crash("request-query1", "path-bad");
        crash("request-query1", "path-bad");
        crash("request-query1", "path-bad");
        crash("request-query2", "path-bad");
        assertThat(decide()).containsExactly("request-query1");
    }

    /** Guards against a part that is never found because each of its requests is repeated and blocked by itself. */
    @Test
    void partIsBlockedAlthoughEachOfItsRequestsCrashesSeveralTargets() {
        answer("system");
        for (int i = 0; i < 2; i++) {
            crash("request-" + i, "bad", "document" + i);
            crash("request-" + i, "bad", "document" + i);
            crash("request-" + i, "bad", "document" + i);
            decide();
        }
        assertThat(blocked()).contains("bad");
        assertThat(blocked()).containsNoneOf("document0", "document1");
    }

    /** Guards against a request that crashes three targets again each time that its block ends. */
    @Test
    void requestThatCrashesATargetAfterItsBlockHasEndedIsBlockedAtOnceAndForLonger() {
        crash("request-bad");
        crash("request-bad");
        crash("request-bad");
        assertThat(decide()).containsExactly("request-bad");
        long blockMillis = CrashSuspects.BLOCK_MILLIS;
        for (int i = 0; i < 4; i++) {
            nowNanos += blockMillis * MILLI;
            assertThat(isBlocked("request-bad")).isFalse();
            crash("request-bad");
            assertThat(isBlocked("request-bad")).isTrue();
            assertThat(decide()).containsExactly("request-bad");
            blockMillis *= 2;
            assertThat(suspects.blocked(nowNanos).get(0).remainingMillis()).isEqualTo(blockMillis);
        }
    }

    /** Guards against wrong decisions about a request among sound ones, in random orders of crashes and answers. */
    @Test
    void onlyTheRequestAtFaultIsBlockedInRandomOrders() {
        for (long seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            CrashSuspects entry = new CrashSuspects();
            long now = seed * 1_000 * MILLI;
            for (int crash = 0; crash < 12; crash++) {
                InstanceId target = new InstanceId("target-" + crash);
                Set<RequestTrait> running = named("request-bad", "path-bad", "system");
                for (int i = random.nextInt(4); i > 0; i--) {
                    int sound = random.nextInt(6);
                    running.addAll(named("request-sound" + sound, "path-sound" + sound, "system"));
                }
                entry.crashed(new TargetCrash(target, 1, running), now);
                now += random.nextInt(400) * MILLI;
                // Retries of the sound requests are answered, most of them before the next crash.
                for (int sound = 0; sound < 6; sound++) {
                    if (random.nextInt(4) > 0) {
                        entry.answered(named("request-sound" + sound, "path-sound" + sound, "system"), now);
                    }
                }
                entry.decide(now);
            }
            now += 200 * MILLI;
            entry.decide(now);
            List<String> blocked = entry.blocked(now).stream()
                    .map(block -> block.trait().value())
                    .toList();
            assertWithMessage("seed %s", seed).that(blocked).containsExactly("request-bad");
        }
    }

    /** Guards against wrong decisions in random orders of crashes, answers and reports of several entries. */
    @Test
    void onlyThePartAtFaultIsBlockedInRandomOrders() {
        for (long seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            CrashSuspects entry = new CrashSuspects();
            long now = seed * 1_000 * MILLI;
            for (int i = 0; i < 40; i++) {
                entry.answered(List.of(part("system"), part("document" + random.nextInt(8))), now);
            }
            for (int crash = 0; crash < 20; crash++) {
                InstanceId engine = new InstanceId("engine-" + crash);
                Set<RequestTrait> culprit = named("system", "document" + random.nextInt(8), "bad");
                Set<RequestTrait> victims = named("system", "document" + random.nextInt(8), "new" + crash % 6);
                boolean isCulpritFirst = random.nextBoolean();
                entry.crashed(new TargetCrash(engine, 1, isCulpritFirst ? culprit : victims), now);
                now += random.nextInt(80) * MILLI;
                entry.decide(now);
                entry.crashed(new TargetCrash(engine, 1, isCulpritFirst ? victims : culprit), now);
                now += random.nextInt(400) * MILLI;
                entry.answered(List.of(part("system"), part("document" + random.nextInt(8))), now);
                entry.decide(now);
            }
            List<String> blocked = entry.blocked(now).stream()
                    .map(block -> block.trait().value())
                    .toList();
            assertThat(blocked).containsExactly("bad");
        }
    }

    private void crash(String... names) {
        engines++;
        suspects.crashed(new TargetCrash(new InstanceId("engine-" + engines), 1, named(names)), nowNanos);
        nowNanos += 10 * MILLI;
    }

    private Set<RequestTrait> answer(String... names) {
        nowNanos += 10 * MILLI;
        return suspects.answered(named(names), nowNanos);
    }

    private List<String> decide() {
        nowNanos += 200 * MILLI;
        return suspects.decide(nowNanos).stream().map(RequestTrait::value).toList();
    }

    private List<String> blocked() {
        return suspects.blocked(nowNanos).stream()
                .map(block -> block.trait().value())
                .toList();
    }

    private boolean isBlocked(String... names) {
        return suspects.findBlock(named(names), nowNanos).isPresent();
    }

    /** Returns the trait with the given name: a request, a path, or otherwise a part of prompts. */
    private static RequestTrait part(String name) {
        Kind kind = name.startsWith("request") ? Kind.REQUEST : name.startsWith("path") ? Kind.PATH : Kind.PROMPT_PART;
        return new RequestTrait(kind, name);
    }

    private static Set<RequestTrait> named(String... names) {
        return Stream.of(names).map(CrashSuspectsTest::part).collect(Collectors.toSet());
    }
}
