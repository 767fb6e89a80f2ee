package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.sharing.SharedFeed;
import io.endiveshed.gateway.GatewaySettings;
import io.endiveshed.ports.platform.ObjectFeed;
import java.time.Duration;

/** Rates at which the feeds of the store are followed. Those of targets and evacuations derive from the bounds of the operator. */
final class FeedPaces {
    /**
     * Timeout of a watch on the desired state. The desired state may be up to twice this old when the store becomes
     * unreachable, and callers with keys are served only until its age reaches the bound for revocations (5 s on the
     * known installations).
     */
    private static final Duration CATALOG_WATCH_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Minimum time between two watches on the desired state that return changes; short against the time in which a
     * desired state must be in force (2 s on the known installations).
     */
    private static final Duration CATALOG_MIN_INTERVAL = Duration.ofMillis(400);

    /** Maximum timeout of a watch on the targets. */
    private static final Duration TARGETS_MAX_WATCH_TIMEOUT = Duration.ofMillis(2_500);

    /**
     * Part of the contact window that is left for the call after a watch that was lost, and for the requests that were
     * placed before it was answered.
     */
    private static final Duration LOST_WATCH_MARGIN = Duration.ofMillis(550);

    private static final Duration TARGETS_MIN_WATCH_TIMEOUT = Duration.ofMillis(200);

    /** Maximum of the minimum time between two watches on the targets; a new target is not missed for this long. */
    private static final Duration TARGETS_MAX_MIN_INTERVAL = Duration.ofMillis(800);

    /** Part of the drain time for which a change of the targets may wait; the rest is for calls and open placements. */
    private static final double DRAIN_PART = 0.4;

    /**
     * Timeout of a watch on objects that change rarely. It may be long, as the watch is repeated when the feed of the
     * desired state finds that connections to the store were lost.
     */
    private static final Duration RARE_CHANGES_WATCH_TIMEOUT = Duration.ofSeconds(25);

    private static final Duration EVACUATIONS_MIN_WATCH_TIMEOUT = Duration.ofMillis(200);

    /** Minimum time between two watches on objects that change rarely, if the first one returned changes. */
    private static final Duration RARE_CHANGES_MIN_INTERVAL = Duration.ofSeconds(1);

    /** Part of the time for an evacuation that a change may wait after another one was read. */
    private static final double EVACUATION_PART = 0.2;

    /** Part of a bound after which an entry no longer relies on the others; the rest is for the call and its repetition. */
    private static final double RELIANCE_PART = 0.6;

    /** Minimum of the same time; with a shorter one, readers would call more often than all entries do alone. */
    private static final Duration MIN_RELIANCE = Duration.ofMillis(1_500);

    /** Maximum of the same time, which keeps the desired state as young as the own watches of 1 s do. */
    private static final Duration MAX_RELIANCE = Duration.ofMillis(1_800);

    /** Age of a confirmation by another entry at its arrival, beyond the duration of that entry's watch. */
    private static final Duration QUESTION_AGE = Duration.ofMillis(600);

    /** Time after which an entry calls the store whatever others say; bounds what forged datagrams can do. */
    private static final Duration MAX_OWN_CALL_INTERVAL = Duration.ofSeconds(10);

    private FeedPaces() {}

    /**
     * Returns the limits for a feed that entries share, whose changes must be known within a bound. The age of what a
     * reader confirms grows to two of its watches and the age of the question.
     */
    static SharedFeed.Limits shared(Duration bound) {
        return relying(max(
                MIN_RELIANCE, min(MAX_RELIANCE, Duration.ofMillis((long) (bound.toMillis() * RELIANCE_PART)))));
    }

    /** Returns the limits for the shared feed of evacuations: nobody relies on others for longer than a watch may be lost. */
    static SharedFeed.Limits sharedEvacuations(GatewaySettings.Bounds bounds) {
        return relying(max(MIN_RELIANCE, evacuations(bounds).watchTimeout()));
    }

    private static SharedFeed.Limits relying(Duration reliance) {
        return new SharedFeed.Limits(
                reliance.toMillis(),
                MAX_OWN_CALL_INTERVAL.toMillis(),
                reliance.minus(QUESTION_AGE).dividedBy(2).toMillis());
    }

    static FeedFollower.Pace catalog() {
        return new FeedFollower.Pace(CATALOG_WATCH_TIMEOUT, CATALOG_MIN_INTERVAL);
    }

    /**
     * Returns the pace of the feed of targets. A watch that was lost with its connection has failed, and the next call
     * was answered, before the bounds hold for the instance again.
     */
    static FeedFollower.Pace targets(GatewaySettings.Bounds bounds) {
        Duration longestLostWatch =
                bounds.contactWindow().minus(ObjectFeed.CALL_TIMEOUT).minus(LOST_WATCH_MARGIN);
        Duration longestDelay = Duration.ofMillis((long) (bounds.drain().toMillis() * DRAIN_PART));
        return new FeedFollower.Pace(
                max(TARGETS_MIN_WATCH_TIMEOUT, min(TARGETS_MAX_WATCH_TIMEOUT, longestLostWatch)),
                min(TARGETS_MAX_MIN_INTERVAL, longestDelay));
    }

    /** Returns the pace of the feeds of entries and of stored crashes. */
    static FeedFollower.Pace rareChanges() {
        return new FeedFollower.Pace(RARE_CHANGES_WATCH_TIMEOUT, RARE_CHANGES_MIN_INTERVAL);
    }

    /**
     * Returns the pace of the feed of evacuations. A watch that was lost with its connection began before the failure, so
     * an evacuation that it hides is acknowledged later, and must be in force neither sooner than its bound after that
     * nor while the bounds do not hold for the instance again. Without a bound, the feed costs as little as those of
     * rare changes.
     */
    static FeedFollower.Pace evacuations(GatewaySettings.Bounds bounds) {
        if (bounds.evacuation().isEmpty()) {
            return rareChanges();
        }
        Duration inForce = bounds.evacuation().get();
        Duration longestLostWatch = max(inForce, bounds.contactWindow())
                .minus(ObjectFeed.CALL_TIMEOUT)
                .minus(LOST_WATCH_MARGIN);
        Duration longestDelay = Duration.ofMillis((long) (inForce.toMillis() * EVACUATION_PART));
        return new FeedFollower.Pace(
                max(EVACUATIONS_MIN_WATCH_TIMEOUT, min(RARE_CHANGES_WATCH_TIMEOUT, longestLostWatch)),
                min(RARE_CHANGES_MIN_INTERVAL, longestDelay));
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }

    private static Duration max(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}
