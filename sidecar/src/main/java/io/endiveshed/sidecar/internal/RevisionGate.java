package io.endiveshed.sidecar.internal;

import io.endiveshed.base.id.Revision;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.net.link.Link;
import io.endiveshed.net.link.LinkConfigurationPeer;
import io.endiveshed.protocol.Message;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;

/**
 * Holds back the messages of a link from a {@link Message.Dispatch} that names a newer revision than this sidecar has,
 * until the revision was pulled. After {@link #MAX_WAIT} the messages pass with the older revision, because an entry
 * that cannot send its configuration must not block calls.
 */
final class RevisionGate {
    /** Longest time for which messages are held back. */
    static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final ConfigurationExchange configuration;
    private final BiConsumer<Link, Message> receiver;
    private final Deque<Message> held = new ArrayDeque<>();
    private Link holding;

    RevisionGate(ConfigurationExchange configuration, BiConsumer<Link, Message> receiver) {
        this.configuration = configuration;
        this.receiver = receiver;
    }

    /** Passes a message on, now or after those before it. */
    synchronized void received(Link link, Message message) {
        if (holding == link) {
            held.add(message);
        } else if (message instanceof Message.Dispatch dispatch && isNewer(dispatch)) {
            hold(link, dispatch);
        } else {
            receiver.accept(link, message);
        }
    }

    /** Drops the held messages of a link that has closed. */
    synchronized void closed(Link link) {
        if (holding == link) {
            holding = null;
            held.clear();
        }
    }

    private boolean isNewer(Message.Dispatch dispatch) {
        return new Revision(dispatch.revision()).isAfter(configuration.revision());
    }

    private void hold(Link link, Message.Dispatch dispatch) {
        holding = link;
        held.add(dispatch);
        Revision revision = new Revision(dispatch.revision());
        configuration.runWhenActive(revision, MAX_WAIT, () -> release(link));
        configuration.onOffer(new LinkConfigurationPeer(link), revision);
    }

    private synchronized void release(Link link) {
        if (holding != link) {
            return;
        }
        holding = null;
        while (!held.isEmpty()) {
            receiver.accept(link, held.remove());
        }
    }
}
