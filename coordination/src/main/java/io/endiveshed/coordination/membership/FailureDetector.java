package io.endiveshed.coordination.membership;

import io.endiveshed.base.id.TargetKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Marks unresponsive targets as suspect. A target is unresponsive if no frame has arrived from it within the timeout
 * for its failure domain. If too many targets of one model or plain service become unresponsive at once, the entry's
 * own network or process is the likelier cause, so they stay live.
 *
 * <p>Not safe for use by several threads; {@link TargetTable} guards it.
 */
final class FailureDetector {
    /** Time without a frame after which a target in the entry's failure domain is unresponsive. */
    static final Duration UNRESPONSIVE_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Time without a frame after which a target in another failure domain is unresponsive. Load reports are sent every
     * 500 ms; if one TCP segment is lost three times in a row, retransmission timeouts of 0.2, 0.4 and 0.8 s delay the
     * frame, which with the interval is just under 2 s.
     */
    static final Duration REMOTE_UNRESPONSIVE_TIMEOUT = Duration.ofSeconds(3);

    /** Time within which targets that become unresponsive are counted together as one mass event. */
    static final Duration MASS_WINDOW = Duration.ofSeconds(5);

    /**
     * Divisor of the number of targets that serve a model or plain service. If more targets than the quotient, and at
     * least two, become unresponsive within {@link #MASS_WINDOW}, that is a mass event and all of them stay live.
     */
    static final int MASS_EVENT_DIVISOR = 3;

    private final InstanceLocation location;

    FailureDetector(InstanceLocation location) {
        this.location = location;
    }

    /**
     * Marks targets that have become unresponsive as suspect, or keeps them live in a mass event.
     *
     * @return whether a target has newly become unresponsive
     */
    boolean detect(Collection<TargetRow> rows, long nowNanos) {
        List<TargetRow> unresponsive = new ArrayList<>();
        Map<ServedName, Integer> groupSizes = new HashMap<>();
        Map<ServedName, List<TargetRow>> recentlyUnresponsive = new HashMap<>();
        for (TargetRow row : rows) {
            if (!row.isLinked() || row.state() == TargetState.LEAVING) {
                continue;
            }
            boolean newlyUnresponsive =
                    row.state() == TargetState.LIVE && !row.isSuspicionSuppressed() && isUnresponsive(row, nowNanos);
            if (newlyUnresponsive) {
                unresponsive.add(row);
            }
            for (ServedName group : servedNames(row)) {
                groupSizes.merge(group, 1, Integer::sum);
                if (newlyUnresponsive || isRecentlyUnresponsive(row, nowNanos)) {
                    recentlyUnresponsive
                            .computeIfAbsent(group, key -> new ArrayList<>())
                            .add(row);
                }
            }
        }
        return !unresponsive.isEmpty() && markSuspectOrLive(unresponsive, groupSizes, recentlyUnresponsive, nowNanos);
    }

    private static boolean markSuspectOrLive(
            List<TargetRow> unresponsive,
            Map<ServedName, Integer> groupSizes,
            Map<ServedName, List<TargetRow>> recentlyUnresponsive,
            long nowNanos) {
        Set<TargetRow> suppressed = new HashSet<>();
        recentlyUnresponsive.forEach((group, members) -> {
            // A single unresponsive target is never a mass event, however few targets the group has.
            if (members.size() > 1 && members.size() * MASS_EVENT_DIVISOR > groupSizes.get(group)) {
                suppressed.addAll(members);
            }
        });
        suppressed.forEach(row -> row.suppressSuspicion(nowNanos));
        unresponsive.stream().filter(row -> !suppressed.contains(row)).forEach(row -> row.markSuspect(nowNanos));
        return true;
    }

    private boolean isUnresponsive(TargetRow row, long nowNanos) {
        boolean sameDomain = row.view().failureDomain().equals(location.failureDomain());
        return nowNanos - row.lastFrameNanos()
                >= (sameDomain ? UNRESPONSIVE_TIMEOUT : REMOTE_UNRESPONSIVE_TIMEOUT).toNanos();
    }

    private static boolean isRecentlyUnresponsive(TargetRow row, long nowNanos) {
        boolean unresponsive = row.isSuspicionSuppressed() || row.state() == TargetState.SUSPECT;
        return unresponsive && nowNanos - row.unresponsiveDetectedNanos() < MASS_WINDOW.toNanos();
    }

    private static List<ServedName> servedNames(TargetRow row) {
        TargetView view = row.view();
        return view.serves().stream()
                .map(name -> new ServedName(view.kind(), name))
                .toList();
    }

    private record ServedName(TargetKind kind, String name) {}
}
