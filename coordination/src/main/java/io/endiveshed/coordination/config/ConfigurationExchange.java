package io.endiveshed.coordination.config;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.Revision;
import io.endiveshed.base.time.Scheduler;
import io.endiveshed.ports.peer.ConfigurationPeer;
import io.endiveshed.ports.peer.ConfigurationReceiver;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Exchanges the configuration with peers over links: announces newer revisions to peers that are behind, and pulls from
 * a peer that is ahead, one pull at a time. Safe for use by several threads.
 *
 * <p>The content travels as the change from the puller's revision, or from nothing if the sender no longer has that
 * revision. The puller checks the digest of the result and pulls the whole content if it is another.
 */
public final class ConfigurationExchange implements ConfigurationReceiver {
    /** Bytes in one message; fits a frame of a link. */
    static final int PIECE_BYTES = 16 * 1024;

    /** Most messages of one content; bounds the memory that a peer can make this process use to 64 MB. */
    private static final int MAX_PIECES = 4_096;

    /** Time after which a pull without an answer is given up and made from another peer. */
    private static final Duration PULL_TIMEOUT = Duration.ofSeconds(3);

    private final Scheduler scheduler;
    private final ActiveConfiguration active;
    private final MetricRegistry metrics;
    private final Map<ConfigurationPeer, Revision> peers = new HashMap<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private Pull pull;

    /** Makes an exchange that announces every activation. */
    public ConfigurationExchange(Scheduler scheduler, ActiveConfiguration active, MetricRegistry metrics) {
        this.scheduler = scheduler;
        this.active = active;
        this.metrics = metrics;
        active.addActivationListener(this::activated);
    }

    /** Returns the revision in effect in this process. */
    public Revision revision() {
        return active.revision();
    }

    /** Called when a link is open and both ends know who the other is. */
    public void addPeer(ConfigurationPeer peer) {
        synchronized (this) {
            peers.putIfAbsent(peer, Revision.NONE);
        }
        if (active.revision().isAfter(Revision.NONE)) {
            peer.sendOffer(active.revision());
        }
    }

    /** Called when a link has closed. */
    public void removePeer(ConfigurationPeer peer) {
        synchronized (this) {
            peers.remove(peer);
            if (pull != null && pull.peer.equals(peer)) {
                pull = null;
            }
        }
        pullFromBest();
    }

    /** Returns the number of open links. */
    public synchronized int peerCount() {
        return peers.size();
    }

    /** Runs the action once, as soon as a revision or a newer one is in effect, or when the time is over. */
    public void runWhenActive(Revision revision, Duration timeout, Runnable action) {
        Waiting entry = new Waiting(revision, action);
        synchronized (this) {
            waiting.add(entry);
        }
        scheduler.schedule(timeout, () -> {
            if (remove(entry)) {
                metrics.counter("configuration.wait_timed_out").inc();
                action.run();
            }
        });
        release(active.revision());
    }

    @Override
    public void onOffer(ConfigurationPeer peer, Revision revision) {
        synchronized (this) {
            peers.merge(peer, revision, (a, b) -> b.isAfter(a) ? b : a);
        }
        pullFromBest();
    }

    @Override
    public void onPull(ConfigurationPeer peer, Revision above) {
        Revision revision = active.revision();
        if (!revision.isAfter(above)) {
            return;
        }
        ConfigurationContent base = active.content(above).orElse(ConfigurationContent.EMPTY);
        byte[] bytes = active.content().since(base).write();
        int count = (bytes.length + PIECE_BYTES - 1) / PIECE_BYTES;
        metrics.counter("configuration.sent_bytes").inc(bytes.length);
        for (int i = 0; i < count; i++) {
            int end = Math.min(bytes.length, (i + 1) * PIECE_BYTES);
            peer.sendPiece(revision, i, count, Arrays.copyOfRange(bytes, i * PIECE_BYTES, end));
        }
    }

    @Override
    public void onPiece(ConfigurationPeer peer, Revision revision, int index, int count, byte[] bytes) {
        byte[] whole;
        synchronized (this) {
            if (pull == null || !pull.peer.equals(peer) || !pull.add(revision, index, count, bytes)) {
                metrics.counter("configuration.unexpected_pieces").inc();
                return;
            }
            if (!pull.isComplete()) {
                return;
            }
            whole = pull.join();
            pull = null;
        }
        adopt(peer, revision, whole);
        pullFromBest();
    }

    private void adopt(ConfigurationPeer peer, Revision revision, byte[] bytes) {
        try {
            ConfigurationDelta delta = ConfigurationDelta.read(bytes);
            Optional<ConfigurationContent> result = result(delta);
            if (result.isPresent()) {
                if (active.activate(revision, result.get())) {
                    metrics.counter("configuration.from_peers").inc();
                }
                return;
            }
            metrics.counter("configuration.digest_mismatch").inc();
            begin(peer, Revision.NONE);
        } catch (RuntimeException e) {
            metrics.counter("configuration.unreadable").inc();
            removePeer(peer);
        }
    }

    private Optional<ConfigurationContent> result(ConfigurationDelta delta) {
        for (ConfigurationContent base : List.of(active.content(), ConfigurationContent.EMPTY)) {
            if (base.digest().equals(delta.baseDigest())) {
                return Optional.of(base.apply(delta))
                        .filter(content -> content.digest().equals(delta.resultDigest()));
            }
        }
        return Optional.empty();
    }

    private void activated(Revision revision) {
        List<ConfigurationPeer> behind;
        synchronized (this) {
            behind = peers.entrySet().stream()
                    .filter(peer -> revision.isAfter(peer.getValue()))
                    .map(Map.Entry::getKey)
                    .toList();
        }
        behind.forEach(peer -> peer.sendOffer(revision));
        release(revision);
    }

    private void pullFromBest() {
        Optional<ConfigurationPeer> best;
        synchronized (this) {
            if (pull != null) {
                return;
            }
            best = peers.entrySet().stream()
                    .filter(peer -> peer.getValue().isAfter(active.revision()))
                    .max(Map.Entry.comparingByValue())
                    .map(Map.Entry::getKey);
        }
        best.ifPresent(peer -> begin(peer, active.revision()));
    }

    private void begin(ConfigurationPeer peer, Revision above) {
        Pull begun = new Pull(peer);
        synchronized (this) {
            if (pull != null) {
                return;
            }
            pull = begun;
        }
        metrics.counter("configuration.pulls").inc();
        scheduler.schedule(PULL_TIMEOUT, () -> giveUp(begun));
        peer.sendPull(above);
    }

    /** Forgets what the peer has announced, so that the next pull goes to another peer. */
    private void giveUp(Pull begun) {
        synchronized (this) {
            if (pull != begun) {
                return;
            }
            pull = null;
            peers.replace(begun.peer, Revision.NONE);
        }
        metrics.counter("configuration.pulls_timed_out").inc();
        pullFromBest();
    }

    private void release(Revision revision) {
        List<Waiting> ready;
        synchronized (this) {
            ready = waiting.stream()
                    .filter(entry -> !entry.revision.isAfter(revision))
                    .toList();
            waiting.removeAll(ready);
        }
        ready.forEach(entry -> entry.action.run());
    }

    private synchronized boolean remove(Waiting entry) {
        return waiting.remove(entry);
    }

    /** An action that waits for a revision; compared by identity. */
    private static final class Waiting {
        private final Revision revision;
        private final Runnable action;

        private Waiting(Revision revision, Runnable action) {
            this.revision = revision;
            this.action = action;
        }
    }

    /** A pull and the parts of its answer so far. */
    private static final class Pull {
        private final ConfigurationPeer peer;
        private Revision revision;
        private byte[][] parts;
        private int missing;

        private Pull(ConfigurationPeer peer) {
            this.peer = peer;
        }

        /** Adds a part; a part of another revision begins the answer anew. */
        private boolean add(Revision partRevision, int index, int count, byte[] bytes) {
            if (count < 1 || count > MAX_PIECES || index < 0 || index >= count) {
                return false;
            }
            if (parts == null || !partRevision.equals(revision) || parts.length != count) {
                revision = partRevision;
                parts = new byte[count][];
                missing = count;
            }
            if (parts[index] == null) {
                missing--;
            }
            parts[index] = bytes;
            return true;
        }

        private boolean isComplete() {
            return missing == 0;
        }

        private byte[] join() {
            int length = Arrays.stream(parts).mapToInt(part -> part.length).sum();
            byte[] whole = new byte[length];
            int offset = 0;
            for (byte[] part : parts) {
                System.arraycopy(part, 0, whole, offset, part.length);
                offset += part.length;
            }
            return whole;
        }
    }
}
