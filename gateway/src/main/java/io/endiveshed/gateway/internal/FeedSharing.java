package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.sharing.FeedChanges;
import io.endiveshed.coordination.sharing.FeedReport;
import io.endiveshed.coordination.sharing.SharedFeed;
import io.endiveshed.coordination.sharing.SharingPeers;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Shares the feeds of an entry with the others of its failure domain: asks the readers of the domain, applies their
 * answers, and answers if it is one of them. Confined to one event loop.
 */
final class FeedSharing {
    private final SharingPeers peers;
    private final Transport transport;
    private final Supplier<ClockReading> clock;
    private final Consumer<String> counter;
    private final EventLog log;
    private boolean wasReader;
    private Set<InstanceId> reachable = Set.of();
    private final Map<String, FeedFollower<?>> followersByName = new LinkedHashMap<>();

    FeedSharing(
            InstanceId self,
            FailureDomain domain,
            Transport transport,
            LongSupplier randomNumbers,
            Supplier<ClockReading> clock,
            Consumer<String> counter,
            EventLog log) {
        this.peers = new SharingPeers(self, domain, randomNumbers);
        this.transport = transport;
        this.clock = clock;
        this.counter = counter;
        this.log = log;
    }

    /** Adds a feed; those beyond the maximum of a datagram are not shared. */
    void add(FeedFollower<?> follower, SharedFeed.Limits limits) {
        if (followersByName.size() < SharingCodec.MAX_FEEDS) {
            follower.shareThrough(this, limits);
            followersByName.put(follower.name(), follower);
        }
    }

    /** Sends the questions that are due; called in regular intervals with the other entries that can be heard. */
    void ask(Set<InstanceId> entries) {
        reachable = entries;
        boolean canReadStore = followersByName.values().stream().noneMatch(FeedFollower::isStoreLost);
        for (SharingPeers.Question question : peers.questions(reachable, canReadStore, clock.get())) {
            transport.send(question.entry(), new SharingMessage.Question(question.number()));
        }
        logReading();
    }

    private void logReading() {
        if (isReader() != wasReader) {
            wasReader = !wasReader;
            log.change(wasReader ? "store.reads-for-others" : "store.reads-for-itself")
                    .with("entries", peers.askers(clock.get()).size())
                    .write();
        }
    }

    /** Handles a datagram of another entry. */
    void receive(InstanceId sender, SharingMessage message) {
        if (message instanceof SharingMessage.Question question) {
            // Questions in the names of others would take memory and make this entry call more often.
            if (reachable.contains(sender) && peers.askedBy(sender, question.number(), clock.get())) {
                // Their watches may wait longer than the others rely on this entry.
                followersByName.values().forEach(FeedFollower::refresh);
            }
        } else if (message instanceof SharingMessage.Answer answer) {
            receiveAnswer(sender, answer);
        }
    }

    private void receiveAnswer(InstanceId sender, SharingMessage.Answer answer) {
        Optional<ClockReading> asked = peers.answered(sender, answer.number(), clock.get());
        if (asked.isEmpty()) {
            return;
        }
        SharingCodec.unpackChanges(answer.changes()).ifPresent(changes -> {
            FeedFollower<?> follower = followersByName.get(changes.feed());
            if (follower != null && follower.receive(changes)) {
                counter.accept("shared.applied");
            }
        });
        for (FeedReport report : answer.feeds()) {
            FeedFollower<?> follower = followersByName.get(report.feed());
            if (follower != null) {
                counter.accept(
                        "shared." + follower.receive(report, asked.get()).name().toLowerCase(Locale.ROOT));
            }
        }
    }

    /** Returns whether this entry reads for others. */
    boolean isReader() {
        return peers.isReader(clock.get());
    }

    /**
     * Answers the entries that ask with what this one knows, after a feed has changed or was confirmed by the store.
     *
     * @param changes latest changes of that feed
     * @param newCount number of the last ones that were just read
     */
    void answer(Optional<FeedChanges> changes, int newCount) {
        ClockReading now = clock.get();
        if (!peers.isReader(now)) {
            return;
        }
        List<FeedReport> reports = followersByName.values().stream()
                .flatMap(follower -> follower.report(now).stream())
                .toList();
        ByteBuffer packed =
                changes.map(told -> SharingCodec.packChanges(told, newCount)).orElse(SharingCodec.NO_CHANGES);
        for (SharingPeers.Question question : peers.askers(now)) {
            transport.send(question.entry(), new SharingMessage.Answer(question.number(), reports, packed));
        }
    }

    /** Sends datagrams to other entries. */
    interface Transport {
        /** Sends a datagram, which may be lost. */
        void send(InstanceId entry, SharingMessage message);
    }
}
