package io.endiveshed.coordination.sharing;

import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.freshness.Freshness;
import io.endiveshed.ports.platform.FeedEvent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides for one feed of the store when an entry may rely on others that read it, and what it reports to them. Confined to
 * one thread.
 *
 * <p>Another entry that holds the same objects confirms them as of the time of the question that it answers, less the
 * age that it reports. It reads that age after it has received the question, so a delay or suspension on either side can
 * only make the objects look older. An entry that is not confirmed in time calls the store itself, and does so in any
 * case from time to time, so that forged reports cannot keep knowledge young for longer.
 *
 * <pre>{@code
 * SharedFeed feed = new SharedFeed("targets", limits);
 * feed.objects().put("target-1", 7);
 * feed.known(1, 7);
 * feed.confirmed(startOfCall);
 * Verdict verdict = feed.receive(report, timeOfQuestion, now, true);
 * }</pre>
 */
public final class SharedFeed {
    /** Maximum number of changes that are kept to be sent; those of about two watches of a busy fleet. */
    private static final int MAX_CHANGES = 64;

    /**
     * Maximum length in characters of all changes that are kept. Larger ones do not fit into a datagram, and the entries
     * that need them read them from the store.
     */
    public static final int MAX_CHANGES_LENGTH = 256 * 1024;

    private final String name;
    private final Limits limits;
    private final ObjectDigest objects = new ObjectDigest();
    private final Deque<FeedChanges.Change> changes = new ArrayDeque<>();
    private int changesLength;
    private long digestBeforeChanges;
    private long era = -1;
    private long version = -1;
    private boolean hasUnreadChanges;
    private Freshness own = Freshness.NEVER;
    private Freshness byPeers = Freshness.NEVER;
    private Freshness confirmed = Freshness.NEVER;
    private OptionalLong confirmedDigest = OptionalLong.empty();
    private long confirmedEra = -1;

    /** Creates a feed of which no object is known. */
    public SharedFeed(String name, Limits limits) {
        this.name = name;
        this.limits = limits;
    }

    /** Returns the name of the feed, which is the same in all entries. */
    public String name() {
        return name;
    }

    /** Returns the limits of the feed. */
    public Limits limits() {
        return limits;
    }

    /** Returns the objects as last read, whether or not they are in force. */
    public ObjectDigest objects() {
        return objects;
    }

    /** Forgets all objects, which are about to be listed. */
    public void clear() {
        objects.clear();
        clearChanges();
    }

    /** Records the change of an object. */
    public void changed(FeedEvent<?> event) {
        OptionalLong before = objects.value();
        boolean isDeleted = event.value().isEmpty() && !event.isUnreadable();
        if (isDeleted) {
            objects.remove(event.name());
        } else {
            objects.put(event.name(), event.version());
        }
        OptionalLong after = objects.value();
        if (before.isEmpty() || after.isEmpty() || event.source().isPresent() == isDeleted) {
            clearChanges();
            return;
        }
        if (changes.isEmpty()) {
            digestBeforeChanges = before.getAsLong();
        }
        FeedChanges.Change change =
                new FeedChanges.Change(event.name(), event.version(), after.getAsLong(), event.source());
        changes.addLast(change);
        changesLength += length(change);
        while (changes.size() > MAX_CHANGES || changesLength > MAX_CHANGES_LENGTH) {
            FeedChanges.Change oldest = changes.removeFirst();
            changesLength -= length(oldest);
            digestBeforeChanges = oldest.digestAfter();
        }
    }

    private void clearChanges() {
        changes.clear();
        changesLength = 0;
    }

    private static int length(FeedChanges.Change change) {
        return change.source().map(String::length).orElse(0);
    }

    /** Returns the latest changes, of which peers may know the first; none if there are none that can be sent. */
    public Optional<FeedChanges> changes() {
        return changes.isEmpty()
                ? Optional.empty()
                : Optional.of(new FeedChanges(name, era, version, digestBeforeChanges, List.copyOf(changes)));
    }

    /** Returns the changes that this entry lacks and that apply to its objects. */
    public List<FeedChanges.Change> missing(FeedChanges told) {
        return told.era() == era && objects.value().isPresent()
                ? told.after(objects.value().getAsLong())
                : List.of();
    }

    /** Returns the number of the era of the store to which the objects belong; negative if none are known. */
    public long era() {
        return era;
    }

    /**
     * Records that the store has changes that this entry has not read yet. Until {@link #known} is called, the reports of
     * this entry make its peers read them too.
     */
    public void changesArrive() {
        hasUnreadChanges = true;
    }

    /** Records the era and version of the store up to which the objects are known. */
    public void known(long knownEra, long knownVersion) {
        hasUnreadChanges = false;
        version = knownEra == era ? Math.max(version, knownVersion) : knownVersion;
        era = knownEra;
    }

    /** Records that a call of this entry has confirmed the objects, counted from its start. */
    public void confirmed(ClockReading start) {
        own = Freshness.confirmedAt(start);
        confirm(start, start);
    }

    /** Returns the time at which the objects were last confirmed by another entry. */
    public Freshness confirmedByPeers() {
        return byPeers;
    }

    /**
     * Returns the time in milliseconds for which no call to the store is needed, because other entries confirm the
     * objects; 0 if one is due.
     */
    public long millisUntilCall(ClockReading now) {
        return Math.max(
                0,
                Math.min(
                        limits.maxAgeMillis - byPeers.ageMillis(now),
                        limits.maxOwnCallIntervalMillis - own.ageMillis(now)));
    }

    /**
     * Considers the report of another entry.
     *
     * @param report what the other entry reports
     * @param asked time at which the question was sent that the report answers
     * @param now current time
     * @param canBeConfirmed whether all that was read is in force and is not from an older copy of the store
     */
    public Verdict receive(FeedReport report, ClockReading asked, ClockReading now, boolean canBeConfirmed) {
        OptionalLong digest = objects.value();
        if (era < 0 || report.era() < era || digest.isEmpty()) {
            return Verdict.NONE;
        }
        if (report.era() > era) {
            return Verdict.READ;
        }
        if (digest.getAsLong() != report.digest()) {
            return report.version() > version ? Verdict.READ : Verdict.NONE;
        }
        if (!canBeConfirmed || report.ageMillis().isEmpty()) {
            return Verdict.NONE;
        }
        ClockReading confirmation = asked.minusMillis(report.ageMillis().getAsLong());
        byPeers = byPeers.newer(confirmation, now);
        confirm(confirmation, now);
        return Verdict.CONFIRMED;
    }

    private void confirm(ClockReading time, ClockReading now) {
        boolean isSameState = confirmedEra == era && confirmedDigest.equals(objects.value());
        confirmed = isSameState ? confirmed.newer(time, now) : Freshness.confirmedAt(time);
        confirmedEra = era;
        confirmedDigest = objects.value();
    }

    /**
     * Returns what this entry reports to its peers; empty if it knows no objects or not all versions.
     *
     * @param outage start of the last failed call of a recent outage that has ended; never if there was none
     * @param now current time
     */
    public Optional<FeedReport> report(Freshness outage, ClockReading now) {
        OptionalLong digest = objects.value();
        if (era < 0 || digest.isEmpty()) {
            return Optional.empty();
        }
        boolean isConfirmed = !hasUnreadChanges && confirmedEra == era && confirmedDigest.equals(digest);
        // The digest after unread changes is not known; any other one makes peers compare the versions.
        return Optional.of(new FeedReport(
                name,
                era,
                hasUnreadChanges ? version + 1 : version,
                hasUnreadChanges ? ~digest.getAsLong() : digest.getAsLong(),
                isConfirmed ? OptionalLong.of(confirmed.ageMillis(now)) : OptionalLong.empty(),
                outage.equals(Freshness.NEVER) ? OptionalLong.empty() : OptionalLong.of(outage.ageMillis(now))));
    }

    /** What a report of another entry means. */
    public enum Verdict {
        /** It changes nothing. */
        NONE,
        /** It confirms the objects that are known. */
        CONFIRMED,
        /** The store has changes that this entry must read now. */
        READ
    }

    /**
     * Limits of the reliance on others.
     *
     * @param maxAgeMillis age in milliseconds of the last confirmation by others from which this entry calls the store
     * @param maxOwnCallIntervalMillis time in milliseconds after its own last confirming call from which this entry calls
     *     the store, whatever the others say
     * @param readerWatchMillis longest watch in milliseconds of an entry that reads for others
     */
    public record Limits(long maxAgeMillis, long maxOwnCallIntervalMillis, long readerWatchMillis) {}
}
