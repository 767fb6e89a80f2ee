package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.freshness.Freshness;
import io.endiveshed.coordination.sharing.FeedChanges;
import io.endiveshed.coordination.sharing.FeedReport;
import io.endiveshed.coordination.sharing.SharedFeed;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.endiveshed.ports.platform.ObjectFeed;
import io.endiveshed.ports.platform.StoreEra;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Part that one follower takes in the sharing of feeds; without sharing it leaves the follower to its own pace. */
final class FeedShare {
    /** Time for which the end of an outage is reported to peers; targets write their entries again well within it. */
    private static final long MAX_TOLD_OUTAGE_MILLIS = 10_000;

    /** Difference in milliseconds up to which two entries mean the same outage. */
    private static final long SAME_OUTAGE_MILLIS = 2_000;

    private final Optional<FeedSharing> sharing;
    private final SharedFeed feed;
    private Freshness lastOutage = Freshness.NEVER;
    private boolean hasRelied;
    private boolean wasTold;

    private FeedShare(Optional<FeedSharing> sharing, SharedFeed feed) {
        this.sharing = sharing;
        this.feed = feed;
    }

    /** Returns the part of a follower whose feed is not shared. */
    static FeedShare none(String name) {
        return new FeedShare(Optional.empty(), new SharedFeed(name, new SharedFeed.Limits(0, 0, 0)));
    }

    /** Returns the part of a follower whose feed is shared. */
    static FeedShare of(String name, FeedSharing sharing, SharedFeed.Limits limits) {
        return new FeedShare(Optional.of(sharing), new SharedFeed(name, limits));
    }

    private boolean isReader() {
        return sharing.isPresent() && sharing.get().isReader();
    }

    /** Returns the timeout of the next watch; the first one after a time without calls only finds out what changed. */
    Duration watchTimeout(Duration own, Duration probe) {
        if (hasRelied) {
            hasRelied = false;
            return probe;
        }
        Duration forOthers = Duration.ofMillis(feed.limits().readerWatchMillis());
        return isReader() && forOthers.compareTo(own) < 0 ? forOthers : own;
    }

    /** Returns the time in milliseconds for which no call is needed because other entries confirm the objects. */
    long millisUntilCall(ClockReading now) {
        long millis = sharing.isEmpty() || isReader() ? 0 : feed.millisUntilCall(now);
        hasRelied |= millis > 0;
        return millis;
    }

    /** Passes on what a call has returned, and when it started if it confirms all objects. */
    void read(FeedBatch<?> batch, boolean isList, Optional<ClockReading> confirmed) {
        if (sharing.isEmpty()) {
            return;
        }
        if (isList) {
            feed.clear();
        }
        record(batch);
        confirmed.ifPresent(feed::confirmed);
        if (confirmed.isPresent() || !batch.events().isEmpty()) {
            // What was read right after an outage may lack objects that are written again soon; others read it
            // themselves, after they have been notified of the outage.
            boolean canTell =
                    confirmed.isPresent() && !isList && lastOutage.ageMillis(confirmed.get()) > MAX_TOLD_OUTAGE_MILLIS;
            sharing.get()
                    .answer(
                            canTell && !batch.events().isEmpty() ? feed.changes() : Optional.empty(),
                            batch.events().size());
        }
    }

    /** Notifies the peers that the store has changes which this entry has begun to read. */
    void changesArrive() {
        feed.changesArrive();
        sharing.ifPresent(shared -> shared.answer(Optional.empty(), 0));
    }

    private void record(FeedBatch<?> batch) {
        batch.events().forEach(feed::changed);
        feed.known(batch.era().number(), batch.upTo());
    }

    /** Returns the changes that this entry lacks, decoded; none if they do not apply or one cannot be decoded. */
    <T> FeedBatch<T> missing(FeedChanges told, ObjectFeed<T> decoder) {
        List<FeedEvent<T>> events = new ArrayList<>();
        boolean areAllDecoded = true;
        for (FeedChanges.Change change : feed.missing(told)) {
            Optional<FeedEvent<T>> event = change.source().isPresent()
                    ? decoder.decode(
                            change.name(), change.version(), change.source().get())
                    : Optional.of(new FeedEvent<>(change.name(), change.version(), Optional.empty()));
            event.ifPresent(events::add);
            areAllDecoded &= event.isPresent();
        }
        return new FeedBatch<>(areAllDecoded ? events : List.of(), told.version(), new StoreEra(told.era()));
    }

    /** Records changes that a peer has sent and that are in force now. */
    void told(FeedBatch<?> batch) {
        record(batch);
        wasTold = true;
    }

    /**
     * Returns the changes of a watch without those that a peer has sent since the last call. The watch starts
     * before them, and would replace newer content by older content for a moment.
     */
    <T> FeedBatch<T> withoutTold(FeedBatch<T> batch) {
        boolean areAllVersioned = batch.events().stream().allMatch(event -> event.version() > 0);
        if (!wasTold || batch.era().number() != feed.era() || !areAllVersioned) {
            return batch;
        }
        wasTold = false;
        return new FeedBatch<>(
                batch.events().stream().filter(event -> !isTold(event)).toList(), batch.upTo(), batch.era());
    }

    private boolean isTold(FeedEvent<?> event) {
        OptionalLong known = feed.objects().version(event.name());
        boolean isDeleted = event.value().isEmpty() && !event.isUnreadable();
        return known.isPresent() && known.getAsLong() >= event.version() + (isDeleted ? 1 : 0);
    }

    /** Returns the minimum time in milliseconds between two calls that others cause. */
    long readIntervalMillis() {
        return feed.limits().maxAgeMillis() / 2;
    }

    /** Returns what this entry reports to its peers of the feed. */
    Optional<FeedReport> report(ClockReading now) {
        boolean isRecent = lastOutage.ageMillis(now) <= MAX_TOLD_OUTAGE_MILLIS;
        return feed.report(isRecent ? lastOutage : Freshness.NEVER, now);
    }

    /** Considers the report of another entry; see {@link SharedFeed#receive}. */
    SharedFeed.Verdict receive(FeedReport report, ClockReading asked, ClockReading now, boolean canBeConfirmed) {
        return feed.receive(report, asked, now, canBeConfirmed);
    }

    /** Returns when other entries have last confirmed the objects. */
    Freshness confirmedByPeers() {
        return feed.confirmedByPeers();
    }

    /** Records an outage of this entry that has ended. */
    void outageEnded(ClockReading lastFailure) {
        lastOutage = Freshness.confirmedAt(lastFailure);
    }

    /**
     * Returns the start of the last failed call of an outage that a peer reports, if it is not known here; this
     * entry may have made no call meanwhile.
     */
    Optional<ClockReading> newOutage(FeedReport report, ClockReading asked, ClockReading now) {
        if (report.outageMillis().isEmpty()) {
            return Optional.empty();
        }
        ClockReading lastFailure = asked.minusMillis(report.outageMillis().getAsLong());
        if (lastOutage.ageMillis(now) - lastFailure.millisUntil(now) <= SAME_OUTAGE_MILLIS) {
            return Optional.empty();
        }
        outageEnded(lastFailure);
        return Optional.of(lastFailure);
    }
}
