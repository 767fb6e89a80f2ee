package io.endiveshed.sidecar.internal;

import io.endiveshed.base.id.Incarnation;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.net.link.Link;
import io.endiveshed.net.link.LinkDialer;
import io.endiveshed.net.link.LinkListener;
import io.endiveshed.net.link.LinkPeer;
import io.endiveshed.protocol.Lane;
import io.endiveshed.protocol.Message;
import io.endiveshed.protocol.ProtocolLimits;
import io.endiveshed.sidecar.SidecarSettings;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/** Keeps one link to one entry daemon open: introduces the sidecar, reports load and reconnects with back-off. */
public final class EntryLink implements LinkListener {
    private static final int NONCE_BYTES = 16;
    private static final long MIN_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    private static final long REPORT_INTERVAL_MILLIS = 500;

    private final SidecarSettings settings;
    private final Incarnation incarnation;
    private final InetSocketAddress entry;
    private final Lane lane;
    private final LinkDialer dialer;
    private final ScheduledExecutorService timers;
    private final RandomGenerator random;
    private final TargetCalls calls;
    private final ConfigurationExchange configuration;
    private final RevisionGate gate;
    private byte[] nonce = new byte[0];
    private long backoffMillis = MIN_BACKOFF_MILLIS;
    private long sequence;
    private boolean welcomed;
    private Future<?> reports;
    private volatile Link link;
    private volatile boolean stopped;

    /** Makes a link that connects once started. */
    public EntryLink(
            SidecarSettings settings,
            Incarnation incarnation,
            InetSocketAddress entry,
            Lane lane,
            LinkDialer dialer,
            ScheduledExecutorService timers,
            RandomGenerator random,
            TargetCalls calls,
            ConfigurationExchange configuration) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.entry = entry;
        this.lane = lane;
        this.dialer = dialer;
        this.timers = timers;
        this.random = random;
        this.calls = calls;
        this.configuration = configuration;
        this.gate = new RevisionGate(configuration, calls::received);
    }

    /** Starts to connect. */
    public void start() {
        dialer.dial(entry, this, this::reconnectLater);
    }

    /** Closes the link and stops reconnecting. */
    public void stop() {
        stopped = true;
        Link current = link;
        if (current != null) {
            current.close();
        }
    }

    @Override
    public void opened(Link opened) {
        link = opened;
        welcomed = false;
    }

    @Override
    public void received(Link from, Message message) {
        if (message instanceof Message.Challenge challenge) {
            introduce(from, challenge);
        } else if (message instanceof Message.Welcome welcome) {
            acceptWelcome(from, welcome);
        } else if (!welcomed) {
            Logger.warn(
                    "entry {} sent {} before Welcome", entry, message.getClass().getSimpleName());
            from.close();
        } else if (message instanceof Message.Ping ping) {
            from.send(new Message.Pong(ping.sequence()));
        } else if (!new LinkPeer(from).deliver(message, configuration)) {
            gate.received(from, message);
        }
    }

    @Override
    public void closed(Link closed) {
        if (reports != null) {
            reports.cancel(false);
        }
        link = null;
        configuration.closed(new LinkPeer(closed));
        gate.closed(closed);
        calls.linkClosed(closed);
        reconnectLater();
    }

    private void introduce(Link to, Message.Challenge challenge) {
        if (challenge.version() != ProtocolLimits.VERSION) {
            Logger.warn(
                    "entry {} speaks protocol version {}, not {}", entry, challenge.version(), ProtocolLimits.VERSION);
            to.close();
            return;
        }
        nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        to.send(new Message.Hello(
                ProtocolLimits.VERSION,
                settings.instance().value(),
                incarnation,
                settings.region().value(),
                settings.failureDomain().value(),
                settings.targetKind(),
                settings.serves(),
                lane,
                settings.kvCapacityTokens(),
                configuration.revision().value(),
                nonce,
                settings.linkSecret().proof("sidecar", challenge.nonce())));
    }

    private void acceptWelcome(Link from, Message.Welcome welcome) {
        if (!settings.linkSecret().accepts("entry", nonce, welcome.proof())) {
            Logger.warn("entry {} does not know the link secret", entry);
            from.close();
            return;
        }
        welcomed = true;
        backoffMillis = MIN_BACKOFF_MILLIS;
        if (lane == Lane.LONG) {
            configuration.opened(new LinkPeer(from));
        }
        reports = timers.scheduleAtFixedRate(
                () -> from.send(calls.report(from, ++sequence)), 0, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void reconnectLater() {
        if (stopped) {
            return;
        }
        long delay = backoffMillis / 2 + random.nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        timers.schedule(this::start, delay, TimeUnit.MILLISECONDS);
    }
}
