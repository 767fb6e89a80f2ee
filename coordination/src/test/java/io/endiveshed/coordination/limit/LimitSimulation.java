package io.endiveshed.coordination.limit;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.service.ColdReading;
import io.endiveshed.coordination.service.ColdStart;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * One target and many entries in virtual time. Each entry sends whenever it may, so that every permit is used. The
 * store lists an entry from its start on and never removes one that was killed.
 */
final class LimitSimulation {
    static final long TICK_MILLIS = 10;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long PEER_TIMEOUT_MILLIS = 2_000;
    private static final long CONTACT_WINDOW_MILLIS = 3_000;
    private static final long ANSWER_MILLIS = 30;

    /** Longest time for which a heartbeat is under way or waits in a busy process. */
    private static final int MAX_HEARTBEAT_DELAY_MILLIS = 300;

    private static final long LIST_DELAY_MILLIS = 100;
    private static final long WINDOW_MILLIS = 4_000;

    /** Seconds over which the requests to a cold target are bounded, and the time for which one may be under way. */
    private static final long COLD_WINDOW_MILLIS = 1_000;

    private static final int MAX_REQUEST_DELAY_MILLIS = 50;

    /** Longest time until an entry has read the object of a target that started, with contact to the store. */
    private static final int MAX_READ_DELAY_MILLIS = 1_000;

    /** Time after an answer with the limit from which requests of its receiver count. */
    private static final long TOLD_MILLIS = 500;

    private static final InstanceId TARGET = new InstanceId("target-1");

    private final Random random;
    private final double limit;
    private final Map<InstanceId, Entry> entries = new LinkedHashMap<>();
    private final Set<InstanceId> listed = new HashSet<>();
    private int listVersion;
    private final Deque<Long> counted = new ArrayDeque<>();
    private final List<Long> coldArrivals = new ArrayList<>();
    private ColdStart coldStart = ColdStart.NONE;
    private final ColdBounds coldBounds;
    private Fault fault = Fault.NONE;
    private long coldFromMillis;
    private boolean namesLimit;
    private long nowMillis;
    private int started;
    private int most;
    private int sent;

    LimitSimulation(long seed, double limit, int entryCount) {
        this(seed, limit, entryCount, ColdBounds.DEFAULTS);
    }

    LimitSimulation(long seed, double limit, int entryCount, ColdBounds coldBounds) {
        this.random = new Random(seed);
        this.limit = limit;
        this.coldBounds = coldBounds;
        addEntries(entryCount);
    }

    /** Broken variants of the product that the tests must detect. */
    enum Fault {
        NONE,
        SHARE_KEPT_WHEN_ENTRIES_JOIN,
        COLD_TIME_COUNTED_FROM_TOO_EARLY,
        WHOLE_RATE_WITHOUT_CONTACT
    }

    /** Starts the target anew and cold; entries know it once they have read its object. */
    void startCold(ColdStart rule, Fault plantedFault) {
        coldStart = rule;
        fault = plantedFault;
        coldFromMillis = nowMillis;
    }

    private boolean isCold() {
        return coldStart.isLimited()
                && nowMillis < coldFromMillis + coldStart.duration().toMillis();
    }

    /** Returns the most requests that the target has received within a second while it was cold. */
    int mostWhileCold() {
        List<Long> sorted = coldArrivals.stream().sorted().toList();
        int mostSoFar = 0;
        int first = 0;
        for (int last = 0; last < sorted.size(); last++) {
            while (sorted.get(first) <= sorted.get(last) - COLD_WINDOW_MILLIS) {
                first++;
            }
            mostSoFar = Math.max(mostSoFar, last - first + 1);
        }
        return mostSoFar;
    }

    Random random() {
        return random;
    }

    /** Sets whether the target names its limit in its answers. */
    void setNamesLimit(boolean value) {
        namesLimit = value;
    }

    void addEntries(int count) {
        for (int i = 0; i < count; i++) {
            started++;
            start(new InstanceId("entry-" + started));
        }
    }

    /** Starts an entry, or starts it again without what it knew. */
    void start(InstanceId id) {
        if (listed.add(id)) {
            listVersion++;
        }
        entries.put(id, new Entry(id));
    }

    /** Ends an entry; the store still lists it. */
    void kill(InstanceId id) {
        entries.remove(id);
    }

    /** Ends an entry whose record is removed from the store. */
    void remove(InstanceId id) {
        entries.remove(id);
        listed.remove(id);
        listVersion++;
    }

    /** Suspends an entry; it receives nothing meanwhile. */
    void freeze(InstanceId id, long millis) {
        entries.get(id).frozenUntilMillis = nowMillis + millis;
    }

    /** Keeps an entry from the store. */
    void cutFromStore(InstanceId id, long millis) {
        entries.get(id).storeCutUntilMillis = nowMillis + millis;
    }

    /** Puts an entry in a group; entries of different groups do not hear each other. */
    void setGroup(InstanceId id, int group) {
        entries.get(id).group = group;
    }

    List<InstanceId> ids() {
        return List.copyOf(entries.keySet());
    }

    /** Returns the most counted requests that the target has received within 4 s. */
    int most() {
        return most;
    }

    /** Returns how many entries know a limit. */
    long entriesWithLimit() {
        return entries.values().stream()
                .filter(entry -> entry.targetLimit.requestsPerSecond().isPresent())
                .count();
    }

    /** Returns the number of requests that the target has received. */
    int sent() {
        return sent;
    }

    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += TICK_MILLIS) {
            List<Entry> active = new ArrayList<>();
            for (Entry entry : entries.values()) {
                if (nowMillis >= entry.frozenUntilMillis) {
                    active.add(entry);
                }
            }
            for (Entry entry : active) {
                entry.receiveAnswers();
                entry.receiveNotices();
                entry.readStore();
                if ((nowMillis + entry.phaseMillis) % HEARTBEAT_MILLIS == 0) {
                    entry.heartbeat(active);
                }
                if (coldStart.isLimited()) {
                    entry.sendCold();
                } else {
                    entry.send();
                }
            }
        }
    }

    private long nowNanos() {
        return nowMillis * 1_000_000;
    }

    private final class Entry {
        private final InstanceId id;
        private final TargetLimit targetLimit = new TargetLimit();
        private final Map<InstanceId, Long> heardMillis = new HashMap<>();
        private final Deque<Answer> answers = new ArrayDeque<>();
        private final PriorityQueue<Notice> notices =
                new PriorityQueue<>(Comparator.comparingLong(Notice::arrivesMillis));
        private final long phaseMillis = random.nextInt((int) (HEARTBEAT_MILLIS / TICK_MILLIS)) * TICK_MILLIS;
        private final long startedMillis = nowMillis;
        private Set<InstanceId> known = Set.of();
        private int knownVersion;
        private boolean isOutdated = true;
        private boolean hadStoreContact;
        private SharingEntries selection = SharingEntries.NONE;
        private final ColdStartGate gate = new ColdStartGate(TARGET, () -> coldStart);
        private final long readDelayMillis = random.nextInt(MAX_READ_DELAY_MILLIS);
        private boolean hasReadTarget;
        private final ColdSharing coldSharing;
        private long storeReadMillis = Long.MIN_VALUE;
        private long frozenUntilMillis;
        private long storeCutUntilMillis;
        private long toldMillis = Long.MAX_VALUE;
        private int group;

        private Entry(InstanceId id) {
            this.id = id;
            this.coldSharing = new ColdSharing(id, coldBounds, nowNanos());
        }

        private void readStore() {
            if (nowMillis >= storeCutUntilMillis && nowMillis - startedMillis >= LIST_DELAY_MILLIS) {
                storeReadMillis = nowMillis;
                if (coldStart.isLimited()
                        && !hasReadTarget
                        && nowMillis - Math.max(startedMillis, coldFromMillis) >= readDelayMillis) {
                    hasReadTarget = true;
                    boolean isEarly = fault == Fault.COLD_TIME_COUNTED_FROM_TOO_EARLY;
                    gate.observeStored(
                            new ColdReading(
                                    coldStart.duration().toMillis(),
                                    nowNanos() - (isEarly ? coldStart.duration().toNanos() / 2 : 0)),
                            1,
                            false);
                }
                if (knownVersion != listVersion) {
                    knownVersion = listVersion;
                    known = Set.copyOf(listed);
                    isOutdated = true;
                }
            }
        }

        private void heartbeat(List<Entry> active) {
            for (Entry other : active) {
                if (other != this && other.group == group) {
                    other.isOutdated |= other.heardMillis.put(id, nowMillis) == null;
                    if (targetLimit.isOwnObservation()) {
                        other.notices.add(new Notice(
                                nowMillis + random.nextInt(MAX_HEARTBEAT_DELAY_MILLIS),
                                targetLimit.requestsPerSecond(),
                                targetLimit.ageMillis(nowNanos())));
                    }
                }
            }
            isOutdated |= heardMillis.values().removeIf(heard -> nowMillis - heard > PEER_TIMEOUT_MILLIS);
            boolean hasStoreContact = storeReadMillis >= 0 && nowMillis - storeReadMillis <= CONTACT_WINDOW_MILLIS;
            if (isOutdated || hasStoreContact != hadStoreContact) {
                isOutdated = false;
                hadStoreContact = hasStoreContact;
                selection = known.isEmpty()
                        ? SharingEntries.NONE
                        : SharingEntries.select(id, known, heardMillis.keySet(), hasStoreContact);
                share();
            }
            coldSharing.setEntries(entriesOfFault(), nowNanos());
            gate.renewShare(coldSharing, nowNanos());
        }

        /** Returns the entries among which the rate is divided, with the fault that the test plants. */
        private SharingEntries entriesOfFault() {
            boolean isKept = fault == Fault.SHARE_KEPT_WHEN_ENTRIES_JOIN
                    && coldSharing.entries().hasContact();
            if (isKept) {
                return coldSharing.entries();
            }
            return fault == Fault.WHOLE_RATE_WITHOUT_CONTACT && !selection.hasContact()
                    ? new SharingEntries(Set.of(id), true, true)
                    : selection;
        }

        /** Sends a request whenever the gate lets one through. */
        private void sendCold() {
            while (hasReadTarget && gate.status(nowNanos()).isAvailable()) {
                gate.acquire(nowNanos());
                sent++;
                if (isCold()) {
                    coldArrivals.add(nowMillis + random.nextInt(MAX_REQUEST_DELAY_MILLIS));
                }
                if (!gate.isCold(nowNanos())) {
                    return;
                }
            }
        }

        private void receiveNotices() {
            while (!notices.isEmpty() && notices.peek().arrivesMillis <= nowMillis) {
                Notice notice = notices.poll();
                if (targetLimit.learn(notice.perSecond, nowNanos() - notice.ageMillis * 1_000_000)) {
                    share();
                }
            }
        }

        private void share() {
            targetLimit
                    .requestsPerSecond()
                    .ifPresent(perSecond -> targetLimit.setShare(
                            LimitShare.of(perSecond, TARGET, id, selection.entries()), nowNanos()));
        }

        private void receiveAnswers() {
            while (!answers.isEmpty() && answers.peek().arrivesMillis <= nowMillis) {
                Answer answer = answers.poll();
                toldMillis = answer.namesLimit ? Math.min(toldMillis, nowMillis) : toldMillis;
                boolean isChanged = answer.namesLimit
                        ? targetLimit.observeLimit(limit, nowNanos())
                        : targetLimit.observeNoLimit(answer.sentMillis * 1_000_000);
                if (isChanged) {
                    share();
                }
            }
        }

        /** Sends a request if it may; an entry that knows no limit sends one every second. */
        private void send() {
            boolean isDue = targetLimit.requestsPerSecond().isPresent() || (nowMillis + phaseMillis) % 1_000 == 0;
            if (!isDue || !targetLimit.tryAcquire(nowNanos())) {
                return;
            }
            sent++;
            answers.add(new Answer(nowMillis, nowMillis + ANSWER_MILLIS, namesLimit));
            if (namesLimit && toldMillis != Long.MAX_VALUE && nowMillis - toldMillis >= TOLD_MILLIS) {
                counted.add(nowMillis);
                while (counted.peek() <= nowMillis - WINDOW_MILLIS) {
                    counted.poll();
                }
                most = Math.max(most, counted.size());
            }
        }
    }

    private record Notice(long arrivesMillis, OptionalDouble perSecond, long ageMillis) {}

    private record Answer(long sentMillis, long arrivesMillis, boolean namesLimit) {}
}
