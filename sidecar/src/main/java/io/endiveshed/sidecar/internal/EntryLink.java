package io.endiveshed.sidecar.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.net.link.Link;
import io.endiveshed.net.link.LinkConfigurationPeer;
import io.endiveshed.net.link.LinkListener;
import io.endiveshed.ports.platform.ListedInstance;
import io.endiveshed.protocol.Lane;
import io.endiveshed.protocol.Message;
import io.endiveshed.protocol.ProtocolLimits;
import io.endiveshed.sidecar.SidecarSettings;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.tinylog.Logger;

/** Keeps one link to one entry daemon open: introduces the sidecar, reports load and reconnects with back-off. */
final class EntryLink implements LinkListener {
    private static final int NONCE_BYTES = 16;
    private static final long MIN_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    private static final long REPORT_INTERVAL_MILLIS = 500;
    private static final long NOT_LEAVING = -1;

    /** Sequence of the ping after {@link Message.Leaving}; its pong shows that the entry has seen the announcement. */
    private static final long LEAVING_PING = 0;

    /** A third of the read timeout of links, which the pongs keep from ending at the sidecar. */
    private static final long PING_INTERVAL_MILLIS = 3_000;

    private final LinkContext context;
    private final ListedInstance entry;
    private final InetSocketAddress address;
    private final Lane lane;
    private final Predicate<Link> linksOfEntry;
    private final Runnable whenLeaving;
    private final RevisionGate gate;
    private byte[] nonce = new byte[0];
    private long backoffMillis = MIN_BACKOFF_MILLIS;
    private long sequence;
    private Future<?> reports;
    private Future<?> pings;
    private volatile Link link;
    private volatile boolean welcomed;
    private volatile boolean stopped;
    private volatile long leavingGraceMillis = NOT_LEAVING;
    private volatile boolean leavingKnown;

    /**
     * Makes a link that connects once started.
     *
     * @param linksOfEntry accepts the links of all lanes to the same entry
     * @param whenLeaving runs when the entry announces that it leaves
     */
    EntryLink(
            LinkContext context, ListedInstance entry, Lane lane, Predicate<Link> linksOfEntry, Runnable whenLeaving) {
        this.context = context;
        this.entry = entry;
        this.address = new InetSocketAddress(entry.host(), entry.port());
        this.lane = lane;
        this.linksOfEntry = linksOfEntry;
        this.whenLeaving = whenLeaving;
        this.gate = new RevisionGate(context.configuration(), context.calls()::received);
    }

    /** Returns the id of an entry of which only the address is known. */
    static InstanceId seedId(InetSocketAddress address) {
        return new InstanceId(address.getHostString() + ":" + address.getPort());
    }

    /** Starts to connect. */
    void start() {
        context.dialer().dial(address, this, this::reconnectLater);
    }

    /** Tells the entry, now and on each reconnection, that the target takes no new work. */
    void announceLeaving(long graceMillis) {
        leavingGraceMillis = graceMillis;
        Link current = link;
        if (current != null && welcomed) {
            sendLeaving(current);
        }
    }

    /** Tells whether the entry has acknowledged that the target leaves, or is not linked. */
    boolean isLeavingKnown() {
        return leavingKnown || !welcomed;
    }

    /** Closes the link after the messages sent so far, and stops reconnecting. */
    void stop() {
        stopped = true;
        Link current = link;
        if (current != null) {
            current.send(new Message.Ping(++sequence), current::close);
        }
    }

    boolean isClosed() {
        return link == null;
    }

    boolean isWelcomed() {
        return welcomed;
    }

    boolean isOver(Link other) {
        return link == other;
    }

    @Override
    public void opened(Link opened) {
        link = opened;
        if (stopped) {
            opened.close();
        }
    }

    @Override
    public void received(Link from, Message message) {
        if (message instanceof Message.Challenge challenge) {
            introduce(from, challenge);
        } else if (message instanceof Message.Welcome welcome) {
            acceptWelcome(from, welcome);
        } else if (!welcomed) {
            Logger.warn(
                    "entry {} sent {} before Welcome",
                    address,
                    message.getClass().getSimpleName());
            from.close();
        } else if (message instanceof Message.Ping ping) {
            from.send(new Message.Pong(ping.sequence()));
        } else if (message instanceof Message.Pong pong) {
            leavingKnown |= pong.sequence() == LEAVING_PING;
        } else if (message instanceof Message.Leaving) {
            whenLeaving.run();
        } else if (!new LinkConfigurationPeer(from).deliver(message, context.configuration())) {
            gate.received(from, message);
        }
    }

    @Override
    public void closed(Link closed) {
        if (pings != null) {
            pings.cancel(false);
        }
        if (reports != null) {
            reports.cancel(false);
        }
        context.calls().linkClosed(closed);
        link = null;
        welcomed = false;
        context.configuration().removePeer(new LinkConfigurationPeer(closed));
        gate.closed(closed);
        reconnectLater();
    }

    private void introduce(Link to, Message.Challenge challenge) {
        if (challenge.version() != ProtocolLimits.VERSION) {
            Logger.warn(
                    "entry {} speaks protocol version {}, not {}",
                    address,
                    challenge.version(),
                    ProtocolLimits.VERSION);
            to.close();
            return;
        }
        if (!entry.id().equals(seedId(address)) && !entry.id().value().equals(challenge.entryInstance())) {
            Logger.warn("{} is entry {} now, not {}", address, challenge.entryInstance(), entry.id());
            to.close();
            return;
        }
        nonce = new byte[NONCE_BYTES];
        context.random().nextBytes(nonce);
        SidecarSettings settings = context.settings();
        to.send(new Message.Hello(
                ProtocolLimits.VERSION,
                settings.instance().value(),
                context.incarnation(),
                settings.region().value(),
                settings.failureDomain().value(),
                settings.targetKind(),
                settings.serves(),
                lane,
                settings.kvCapacityTokens(),
                context.configuration().revision().value(),
                nonce,
                settings.linkSecret().computeProof("sidecar", challenge.nonce())));
    }

    private void acceptWelcome(Link from, Message.Welcome welcome) {
        if (!context.settings().linkSecret().isValidProof("entry", nonce, welcome.proof())) {
            Logger.warn("entry {} does not know the link secret", address);
            from.close();
            return;
        }
        welcomed = true;
        from.markAuthenticated();
        backoffMillis = MIN_BACKOFF_MILLIS;
        if (leavingGraceMillis != NOT_LEAVING) {
            sendLeaving(from);
        }
        if (lane == Lane.LONG) {
            context.configuration().addPeer(new LinkConfigurationPeer(from));
        }
        pings = every(PING_INTERVAL_MILLIS, () -> from.send(new Message.Ping(++sequence)));
        if (lane == Lane.SHORT) {
            reports = every(
                    REPORT_INTERVAL_MILLIS, () -> from.send(context.calls().report(linksOfEntry, ++sequence)));
        }
    }

    private Future<?> every(long millis, Runnable task) {
        return context.timers().scheduleAtFixedRate(task, 0, millis, TimeUnit.MILLISECONDS);
    }

    private void sendLeaving(Link to) {
        to.send(new Message.Leaving(leavingGraceMillis));
        to.send(new Message.Ping(LEAVING_PING));
    }

    private void reconnectLater() {
        if (stopped) {
            return;
        }
        long delay = backoffMillis / 2 + context.random().nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        context.timers().schedule(this::start, delay, TimeUnit.MILLISECONDS);
    }
}
