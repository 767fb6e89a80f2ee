package io.endiveshed.entry.internal;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.coordination.membership.TargetLoad;
import io.endiveshed.coordination.membership.TargetState;
import io.endiveshed.coordination.membership.TargetTable;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.entry.EntrySettings;
import io.endiveshed.net.link.Link;
import io.endiveshed.net.link.LinkConfigurationPeer;
import io.endiveshed.net.link.LinkListener;
import io.endiveshed.protocol.Lane;
import io.endiveshed.protocol.Message;
import io.endiveshed.protocol.ProtocolLimits;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.NanoClock;
import org.tinylog.Logger;

/** The links from sidecars: authenticates them, keeps the fleet view up to date and hands on messages about calls. */
public final class SidecarLinks implements LinkListener {
    private static final int NONCE_BYTES = 16;
    private static final long NOT_LEAVING = -1;

    private final EntrySettings settings;
    private final Incarnation incarnation;
    private final RandomGenerator random;
    private final Blackboard blackboard;
    private final TargetTable table;
    private final NanoClock clock;
    private final Map<Link, byte[]> nonceByLink = new ConcurrentHashMap<>();
    private final Map<Link, TargetId> targetByLink = new ConcurrentHashMap<>();
    private final Map<TargetId, LaneLinks> linksByTarget = new ConcurrentHashMap<>();
    private final Map<TargetId, Integer> outstandingByTarget = new ConcurrentHashMap<>();
    private CallMessageListener callListener;
    private volatile long leavingGraceMillis = NOT_LEAVING;
    private ConfigurationExchange configurationExchange;

    /** Makes the registry of links of one entry incarnation. */
    public SidecarLinks(
            EntrySettings settings,
            Incarnation incarnation,
            RandomGenerator random,
            Blackboard blackboard,
            TargetTable table,
            NanoClock clock) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.random = random;
        this.blackboard = blackboard;
        this.table = table;
        this.clock = clock;
    }

    /** Sets the receiver of messages about calls; must be called before the first link opens. */
    public void setCallMessageListener(CallMessageListener receiver) {
        this.callListener = receiver;
    }

    /** Tells all sidecars, and those that link later, that this entry sends no new work. */
    public void announceLeaving(Duration grace) {
        leavingGraceMillis = grace.toMillis();
        targetByLink.keySet().forEach(link -> link.send(new Message.Leaving(leavingGraceMillis)));
    }

    /** Sets the exchange of the configuration; must be called before the first link opens. */
    public void setConfigurationExchange(ConfigurationExchange exchange) {
        this.configurationExchange = exchange;
    }

    /** Returns the link for a body of the given length, if the sidecar is linked. */
    public Optional<Link> link(TargetId target, long bodyBytes) {
        LaneLinks links = linksByTarget.get(target);
        return links == null ? Optional.empty() : Optional.ofNullable(links.link(bodyBytes));
    }

    /** Returns the number of requests that this entry has outstanding on a target. */
    public int outstanding(TargetId target) {
        return outstandingByTarget.getOrDefault(target, 0);
    }

    /**
     * Adds to the number of outstanding requests of a target. The number outlives the links, because work continues on
     * a target while its links are broken.
     */
    public void addOutstanding(TargetId target, int change) {
        outstandingByTarget.compute(target, (id, count) -> {
            int sum = (count == null ? 0 : count) + change;
            return sum == 0 ? null : sum;
        });
    }

    @Override
    public void opened(Link link) {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        nonceByLink.put(link, nonce);
        link.send(new Message.Challenge(
                ProtocolLimits.VERSION, settings.instance().value(), incarnation, nonce));
    }

    @Override
    public void received(Link link, Message message) {
        TargetId target = targetByLink.get(link);
        if (target == null) {
            handleHello(link, message);
        } else if (new LinkConfigurationPeer(link).deliver(message, configurationExchange)) {
            return;
        } else if (message instanceof Message.LoadReport report) {
            table.recordLoadReport(target, load(report), report.leaving());
        } else if (message instanceof Message.Leaving) {
            table.markLeaving(target);
        } else {
            table.recordFrame(target);
            handleFrame(link, target, message);
        }
    }

    private void handleFrame(Link link, TargetId target, Message message) {
        if (message instanceof Message.Ping ping) {
            link.send(new Message.Pong(ping.sequence()));
        } else {
            callListener.received(target, link, message);
        }
    }

    @Override
    public void closed(Link link) {
        nonceByLink.remove(link);
        TargetId target = targetByLink.remove(link);
        if (target == null) {
            return;
        }
        LaneLinks links = linksByTarget.get(target);
        if (links != null && links.remove(link)) {
            table.markUnlinked(target);
            linksByTarget.computeIfPresent(target, (id, present) -> present.isEmpty() ? null : present);
            Logger.info("target {} has lost a link", target);
        }
        configurationExchange.removePeer(new LinkConfigurationPeer(link));
        callListener.linkClosed(target, link);
    }

    private void handleHello(Link link, Message message) {
        byte[] nonce = nonceByLink.get(link);
        if (!(message instanceof Message.Hello hello) || nonce == null) {
            reject(link, "sent " + message.getClass().getSimpleName() + " before Hello");
            return;
        }
        if (hello.version() != ProtocolLimits.VERSION) {
            reject(link, "speaks protocol version " + hello.version() + ", not " + ProtocolLimits.VERSION);
            return;
        }
        if (!settings.linkSecret().isValidProof("sidecar", nonce, hello.proof())) {
            reject(link, "does not know the link secret");
            return;
        }
        acceptSidecar(link, hello);
    }

    private void acceptSidecar(Link link, Message.Hello hello) {
        nonceByLink.remove(link);
        link.markAuthenticated();
        TargetId target = new TargetId(new InstanceId(hello.instance()), hello.incarnation());
        targetByLink.put(link, target);
        LaneLinks links = linksByTarget.compute(target, (id, present) -> {
            LaneLinks updated = present == null ? new LaneLinks() : present;
            updated.add(hello.lane(), link);
            return updated;
        });
        link.send(new Message.Welcome(
                blackboard.configuration().read().revision().value(),
                settings.linkSecret().computeProof("entry", hello.nonce())));
        if (leavingGraceMillis != NOT_LEAVING) {
            link.send(new Message.Leaving(leavingGraceMillis));
        }
        if (hello.lane() == Lane.LONG) {
            configurationExchange.addPeer(new LinkConfigurationPeer(link));
        }
        if (links.hasAllLanes()) {
            addTarget(target, hello);
        }
    }

    private void addTarget(TargetId target, Message.Hello hello) {
        if (table.add(view(target, hello))) {
            Logger.info("target {} serves {}", target, hello.serves());
            targetByLink.forEach((other, id) -> {
                if (id.instance().equals(target.instance()) && !id.equals(target)) {
                    other.close();
                }
            });
        } else {
            Logger.warn("target {} is refused: this incarnation has left or was replaced", target);
            targetByLink.forEach((other, id) -> {
                if (id.equals(target)) {
                    other.close();
                }
            });
        }
        callListener.linkOpened(target);
    }

    private static TargetView view(TargetId target, Message.Hello hello) {
        return new TargetView(
                target,
                hello.targetKind(),
                hello.serves(),
                new Region(hello.region()),
                new FailureDomain(hello.failureDomain()),
                hello.kvCapacityTokens(),
                TargetState.LIVE,
                TargetLoad.NONE);
    }

    private TargetLoad load(Message.LoadReport report) {
        return new TargetLoad(
                report.sequence(),
                clock.nanoTime(),
                report.running(),
                report.queued(),
                report.queuedTokens(),
                report.outstandingTokens(),
                report.freeKvTokens());
    }

    private static void reject(Link link, String reason) {
        Logger.warn("link from {} refused: the peer {}", link.remoteAddress(), reason);
        link.close();
    }

    /** The links of one sidecar and the work outstanding on it. */
    private static final class LaneLinks {
        private volatile Map<Lane, Link> linkByLane = Map.of();

        synchronized void add(Lane lane, Link link) {
            Map<Lane, Link> copy = new EnumMap<>(Lane.class);
            copy.putAll(linkByLane);
            Link replaced = copy.put(lane, link);
            linkByLane = copy;
            if (replaced != null) {
                replaced.close();
            }
        }

        /** Removes a link and tells whether the sidecar has lost a lane with it. */
        synchronized boolean remove(Link link) {
            Map<Lane, Link> copy = new EnumMap<>(Lane.class);
            copy.putAll(linkByLane);
            boolean removed = copy.values().remove(link);
            linkByLane = copy;
            return removed;
        }

        boolean isEmpty() {
            return linkByLane.isEmpty();
        }

        boolean hasAllLanes() {
            return linkByLane.size() == Lane.values().length;
        }

        Link link(long bodyBytes) {
            return linkByLane.get(bodyBytes > ProtocolLimits.SHORT_LANE_MAX_BODY_BYTES ? Lane.LONG : Lane.SHORT);
        }
    }
}
