package io.endiveshed.coordination.crash;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.crash.RequestTrait.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Entries, targets and a store in virtual time. One request crashes every target that begins to run it and comes again at
 * any entry, beside sound requests of which some come again as well. Callers retry once what was broken off. Targets also crash for no reason, and are back after
 * some seconds. Datagrams are lost and delayed, entries have different clocks, and the store keeps one record an entry.
 */
final class CrashSimulation {
    static final long CONTACT_WINDOW_MILLIS = 3_000;

    /** Time at which the crashing request comes first; until then entries answer most of the requests that are repeated. */
    static final long FIRST_POISON_MILLIS = 20_000;

    private static final long HEARTBEAT_MILLIS = 500;
    private static final long PEER_TIMEOUT_MILLIS = 2_000;
    private static final long STORE_POLL_MILLIS = 100;

    /** Minimum time between two reads of changes, and longest time for which a lost watch hides them. */
    private static final long STORE_READ_INTERVAL_MILLIS = 1_000;

    private static final int MAX_LOST_WATCH_MILLIS = 2_450;
    private static final long STORE_CALL_MILLIS = 20;
    private static final int MAX_BACKUP_AGE_MILLIS = 5_000;
    private static final int MAX_DATAGRAM_MILLIS = 300;
    private static final double DATAGRAM_LOSS = 0.03;
    private static final long BEGIN_MILLIS = 20;
    private static final long CRASH_MILLIS = 50;
    private static final long VERDICT_MILLIS = 8;
    private static final int MAX_ATTEMPTS = 2;
    private static final int POLLED_REQUESTS = 20;
    private static final double POLLED_SHARE = 0.2;
    private static final long CLIENT_RETRY_MILLIS = 50;
    private static final int MAX_TELLERS = 8;

    /** Longest time for which requests wait for the first list of the store after a start. */
    private static final long MAX_STARTUP_WAIT_MILLIS = 200;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Heartbeats reach at most this many peers, so that hundreds of entries can be simulated; fewer make it harder. */
    private static final int MAX_HEARTBEAT_PEERS = 30;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final Map<InstanceId, Entry> entries = new LinkedHashMap<>();
    private final Set<InstanceId> listed = new HashSet<>();
    private final Map<InstanceId, StoredRecord> store = new LinkedHashMap<>();
    private final Map<Long, Backup> backups = new LinkedHashMap<>();
    private final List<Target> targets = new ArrayList<>();
    private final Set<TargetStart> poisonCrashes = new HashSet<>();
    private final Options options;
    private long storeVersion;
    private long nowMillis;
    private long lastEvent;
    private int started;
    private long thirdCrashMillis = Long.MAX_VALUE;
    private int countedArrivals;
    private int poisonArrivals;
    private int soundRequests;
    private int soundRefused;
    private int storeWrites;
    private int crashes;

    CrashSimulation(long seed, int entryCount, int targetCount, Options options) {
        this.random = new Random(seed);
        this.options = options;
        for (int i = 0; i < targetCount; i++) {
            targets.add(new Target(new InstanceId("target-" + i)));
        }
        addEntries(entryCount);
        at(50, this::soundArrives);
        at(options.firstPoisonMillis, this::poisonArrives);
        at(4_000, this::randomCrash);
    }

    Random random() {
        return random;
    }

    List<InstanceId> ids() {
        return List.copyOf(entries.keySet());
    }

    /** Returns the arrivals of the crashing request that the platform counts: late ones, from entries in touch. */
    int countedArrivals() {
        return countedArrivals;
    }

    /** Returns the number of times that the crashing request has reached a target. */
    int poisonArrivals() {
        return poisonArrivals;
    }

    int soundRequests() {
        return soundRequests;
    }

    /** Returns the number of sound requests that were refused because of crashes. */
    int soundRefused() {
        return soundRefused;
    }

    int storeWrites() {
        return storeWrites;
    }

    /** Returns the number of crashes of targets. */
    int crashes() {
        return crashes;
    }

    void addEntries(int count) {
        for (int i = 0; i < count; i++) {
            started++;
            start(new InstanceId("entry-" + started));
        }
    }

    /** Starts an entry, or starts it again without what it knew. */
    void start(InstanceId id) {
        listed.add(id);
        Entry entry = new Entry(id);
        entries.put(id, entry);
        entry.after(20 + random.nextInt(100), entry::listStore);
        entry.after(random.nextInt((int) HEARTBEAT_MILLIS), entry::heartbeat);
    }

    /** Ends an entry; the store still lists it and keeps its record. */
    void kill(InstanceId id) {
        entries.remove(id);
    }

    /** Ends all entries and starts them again within half a second. */
    void restartAll() {
        for (InstanceId id : ids()) {
            kill(id);
            at(200 + random.nextInt(300), () -> start(id));
        }
    }

    void freeze(InstanceId id, long millis) {
        Entry entry = entries.get(id);
        entry.frozenUntilMillis = Math.max(entry.frozenUntilMillis, nowMillis + millis);
    }

    /** Keeps an entry from the store; a watch that was waiting meanwhile may hide changes for a while afterwards. */
    void cutFromStore(InstanceId id, long millis) {
        Entry entry = entries.get(id);
        entry.storeCutUntilMillis = Math.max(entry.storeCutUntilMillis, nowMillis + millis);
        entry.blindUntilMillis = entry.storeCutUntilMillis + random.nextInt(MAX_LOST_WATCH_MILLIS);
    }

    /** Puts an entry in a group; entries of different groups receive no datagrams of each other. */
    void setGroup(InstanceId id, int group) {
        entries.get(id).group = group;
    }

    void stepClock(InstanceId id, long millis) {
        entries.get(id).clockOffsetMillis += millis;
    }

    /** Restores the store from a backup that is some seconds old. */
    void restoreStore() {
        long backupMillis = nowMillis - random.nextInt(MAX_BACKUP_AGE_MILLIS);
        store.clear();
        backups.values().stream()
                .filter(backup -> backup.atMillis <= backupMillis)
                .reduce((first, second) -> second)
                .ifPresent(backup -> store.putAll(backup.records));
        storeVersion++;
        entries.values()
                .forEach(entry -> entry.after(10, () -> {
                    entry.records.storeRestored();
                    entry.listStore();
                }));
    }

    void run(long millis) {
        long end = nowMillis + millis;
        while (!events.isEmpty() && events.peek().atMillis <= end) {
            Event event = events.poll();
            nowMillis = event.atMillis;
            event.action.run();
        }
        nowMillis = end;
    }

    private void at(long delayMillis, Runnable action) {
        lastEvent++;
        events.add(new Event(nowMillis + delayMillis, lastEvent, action));
    }

    private long nowNanos() {
        return nowMillis * NANOS_PER_MILLI;
    }

    private void poisonArrives() {
        if (options.poisonComes) {
            arrive(new Request(true, traits("poison")));
        }
        at(100 + random.nextInt(options.maxPoisonGapMillis), this::poisonArrives);
    }

    private void soundArrives() {
        soundRequests++;
        int number = random.nextDouble() < POLLED_SHARE ? -random.nextInt(POLLED_REQUESTS) : soundRequests;
        arrive(new Request(false, traits("sound" + number)));
        at(10 + random.nextInt(60), this::soundArrives);
    }

    private void arrive(Request request) {
        if (!entries.isEmpty()) {
            Entry entry = List.copyOf(entries.values()).get(random.nextInt(entries.size()));
            entry.after(0, () -> entry.attempt(new Attempt(entry, request)));
        }
    }

    private void randomCrash() {
        crash(targets.get(random.nextInt(targets.size())));
        at(2_000 + random.nextInt(8_000), this::randomCrash);
    }

    private void crash(Target target) {
        crashes++;
        TargetStart crashed = target.start();
        target.downUntilMillis = nowMillis + 2_500 + random.nextInt(2_500);
        target.startedMillis = target.downUntilMillis;
        List<Attempt> broken = List.copyOf(target.running);
        target.running.clear();
        for (Attempt attempt : broken) {
            attempt.entry.after(VERDICT_MILLIS, () -> attempt.entry.attemptBroken(attempt, crashed));
        }
    }

    private void poisonCrashes(Target target, TargetStart start) {
        if (target.isUp() && target.start().equals(start)) {
            poisonCrashes.add(start);
            if (poisonCrashes.size() == 3) {
                thirdCrashMillis = nowMillis;
            }
            crash(target);
        }
    }

    private static Set<RequestTrait> traits(String name) {
        return Set.of(
                new RequestTrait(Kind.REQUEST, "request-" + name),
                new RequestTrait(Kind.PATH, "path-" + name),
                new RequestTrait(Kind.PROMPT_PART, "system"));
    }

    /** What happens in a simulation; the sharing of knowledge can be switched off to show that it is needed. */
    static final class Options {
        private final long firstPoisonMillis = FIRST_POISON_MILLIS;
        private final int maxPoisonGapMillis = 1_000;
        private boolean poisonComes = true;
        private boolean usesStore = true;
        private boolean usesDatagrams = true;

        Options withoutStore() {
            usesStore = false;
            return this;
        }

        Options withoutDatagrams() {
            usesDatagrams = false;
            return this;
        }

        Options withoutPoison() {
            poisonComes = false;
            return this;
        }
    }

    private record Event(long atMillis, long number, Runnable action) {}

    private record StoredRecord(CrashRecord record, long version) {}

    private record Backup(long atMillis, Map<InstanceId, StoredRecord> records) {}

    private record Request(boolean isPoison, Set<RequestTrait> traits, AtomicBoolean isRetried) {
        private Request(boolean isPoison, Set<RequestTrait> traits) {
            this(isPoison, traits, new AtomicBoolean());
        }
    }

    private final class Target {
        private final InstanceId id;
        private final Set<Attempt> running = new LinkedHashSet<>();
        private long startedMillis;
        private long downUntilMillis;

        private Target(InstanceId id) {
            this.id = id;
        }

        private boolean isUp() {
            return nowMillis >= downUntilMillis;
        }

        private TargetStart start() {
            return new TargetStart(id, startedMillis);
        }
    }

    private static final class Attempt {
        private final Entry entry;
        private final Request request;
        private final Set<Target> tried = new HashSet<>();
        private int number;

        private Attempt(Entry entry, Request request) {
            this.entry = entry;
            this.request = request;
        }
    }

    private final class Entry {
        private final InstanceId id;
        private final CrashSuspects suspects = new CrashSuspects();
        private final CrashRecords records;
        private final Map<InstanceId, Long> heardMillis = new HashMap<>();
        private final long startedMillis = nowMillis;
        private long clockOffsetMillis = random.nextInt(1_000) - 500L;
        private long frozenUntilMillis = -CONTACT_WINDOW_MILLIS;
        private long storeCutUntilMillis = -CONTACT_WINDOW_MILLIS;
        private long blindUntilMillis;
        private long readMillis = -STORE_READ_INTERVAL_MILLIS;
        private long knownVersion = -1;
        private int group;

        private Entry(InstanceId id) {
            this.id = id;
            this.records = new CrashRecords(id, suspects);
        }

        /** Runs an action of this process, later if it is frozen, and not at all if it has ended. */
        private void after(long delayMillis, Runnable action) {
            at(delayMillis, () -> {
                if (entries.get(id) != this) {
                    return;
                }
                if (nowMillis < frozenUntilMillis) {
                    after(frozenUntilMillis - nowMillis, action);
                } else {
                    action.run();
                }
            });
        }

        private boolean isInTouch() {
            long last = Math.max(Math.max(startedMillis, frozenUntilMillis), storeCutUntilMillis);
            return nowMillis - last >= CONTACT_WINDOW_MILLIS;
        }

        private long unixMillis() {
            return 1_700_000_000_000L + nowMillis + clockOffsetMillis;
        }

        private void attempt(Attempt attempt) {
            if (knownVersion < 0 && nowMillis - startedMillis < MAX_STARTUP_WAIT_MILLIS) {
                after(5, () -> attempt(attempt));
                return;
            }
            suspects.decide(nowNanos());
            if (suspects.findBlock(attempt.request.traits, nowNanos()).isPresent()) {
                soundRefused += attempt.request.isPoison ? 0 : 1;
                return;
            }
            List<Target> usable = targets.stream()
                    .filter(target -> target.isUp() && !attempt.tried.contains(target))
                    .toList();
            if (usable.isEmpty()) {
                return;
            }
            Target target = usable.get(random.nextInt(usable.size()));
            attempt.tried.add(target);
            attempt.number++;
            target.running.add(attempt);
            if (attempt.request.isPoison) {
                poisonArrivals++;
                if (isInTouch() && nowMillis - thirdCrashMillis > CONTACT_WINDOW_MILLIS) {
                    countedArrivals++;
                }
                TargetStart start = target.start();
                at(BEGIN_MILLIS + CRASH_MILLIS, () -> poisonCrashes(target, start));
            } else {
                at(BEGIN_MILLIS + 50L + random.nextInt(750), () -> {
                    if (target.running.remove(attempt)) {
                        after(2, () -> answered(attempt));
                    }
                });
            }
        }

        private void answered(Attempt attempt) {
            Set<RequestTrait> cleared = suspects.answered(attempt.request.traits, nowNanos());
            if (cleared.isEmpty()) {
                return;
            }
            sendToAll(other -> other.suspects.answered(cleared, nowNanos()));
        }

        private void attemptBroken(Attempt attempt, TargetStart start) {
            TargetCrash crash = new TargetCrash(start.target(), start.startedMillis(), attempt.request.traits);
            suspects.crashed(crash, nowNanos());
            records.observed(crash, unixMillis());
            sendToAll(other -> {
                other.suspects.crashed(crash, nowNanos());
                other.tellEarlierAnswers(crash);
            });
            tellEarlierAnswers(crash);
            if (attempt.number < MAX_ATTEMPTS) {
                attempt(attempt);
            } else if (!attempt.request.isRetried.getAndSet(true)) {
                at(CLIENT_RETRY_MILLIS, () -> arrive(attempt.request));
            }
        }

        /** With many entries, only some of those that have seen an answer tell it. */
        private void tellEarlierAnswers(TargetCrash crash) {
            List<AnsweredTrait> answers = suspects.answersBeforeCrashes(crash.traits(), nowNanos());
            if (!answers.isEmpty() && random.nextDouble() * entries.size() < MAX_TELLERS) {
                sendToAll(other -> other.suspects.answeredElsewhere(answers, nowNanos()));
            }
        }

        private void sendToAll(Notice notice) {
            for (Entry other : List.copyOf(entries.values())) {
                sendTo(other, notice);
            }
        }

        private void sendTo(Entry other, Notice notice) {
            boolean isDelivered = options.usesDatagrams && random.nextDouble() >= DATAGRAM_LOSS;
            if (other != this && other.group == group && isDelivered) {
                other.after(1 + random.nextInt(MAX_DATAGRAM_MILLIS), () -> notice.receive(other));
            }
        }

        private void heartbeat() {
            suspects.decide(nowNanos());
            List<BlockedTrait> blocked = suspects.blocked(nowNanos());
            List<Entry> peers = new ArrayList<>(entries.values());
            for (int i = 0; i < Math.min(peers.size(), MAX_HEARTBEAT_PEERS); i++) {
                Entry peer =
                        peers.size() <= MAX_HEARTBEAT_PEERS ? peers.get(i) : peers.get(random.nextInt(peers.size()));
                sendTo(peer, other -> {
                    other.heardMillis.put(id, nowMillis);
                    blocked.forEach(block -> other.suspects.blockedElsewhere(block, nowNanos()));
                });
            }
            if (options.usesStore) {
                writeStore();
            }
            after(HEARTBEAT_MILLIS, this::heartbeat);
        }

        private boolean reachesAll() {
            return entries.size() <= MAX_HEARTBEAT_PEERS
                    ? listed.stream().allMatch(other -> other.equals(id) || hears(other))
                    : heardMillis.keySet().stream().allMatch(this::hears);
        }

        private boolean hears(InstanceId other) {
            return nowMillis - heardMillis.getOrDefault(other, Long.MIN_VALUE / 2) <= PEER_TIMEOUT_MILLIS;
        }

        private void writeStore() {
            records.toWrite(reachesAll(), nowNanos(), unixMillis())
                    .ifPresent(record -> after(STORE_CALL_MILLIS, () -> {
                        if (nowMillis >= storeCutUntilMillis) {
                            storeWrites++;
                            storeVersion++;
                            store.put(id, new StoredRecord(record, storeVersion));
                            backups.put(storeVersion, new Backup(nowMillis, new LinkedHashMap<>(store)));
                            records.written(record);
                        }
                    }));
        }

        private void listStore() {
            if (nowMillis < storeCutUntilMillis) {
                after(STORE_POLL_MILLIS, this::listStore);
                return;
            }
            boolean isFirst = knownVersion < 0;
            knownVersion = storeVersion;
            readMillis = nowMillis;
            records.listed(store.values().stream().map(StoredRecord::record).toList(), nowNanos(), unixMillis());
            if (isFirst) {
                after(STORE_POLL_MILLIS, this::watchStore);
            }
        }

        private void watchStore() {
            boolean isDue = nowMillis - readMillis >= STORE_READ_INTERVAL_MILLIS && nowMillis >= blindUntilMillis;
            if (isDue && nowMillis >= storeCutUntilMillis && knownVersion != storeVersion) {
                for (StoredRecord stored : store.values()) {
                    if (stored.version > knownVersion) {
                        records.changed(stored.record, nowNanos(), unixMillis());
                    }
                }
                knownVersion = storeVersion;
                readMillis = nowMillis;
            }
            after(STORE_POLL_MILLIS, this::watchStore);
        }
    }

    /** Datagram of one entry that arrives at another one. */
    private interface Notice {
        void receive(Entry other);
    }
}
