package io.endiveshed.standins;

import io.endiveshed.base.id.Revision;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.ports.peer.ConfigurationPeer;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * In-order link between two configuration exchanges in virtual time. It can be closed, or drop messages without notice to
 * its ends.
 */
public final class VirtualConfigurationLink {
    private final VirtualScheduler scheduler;
    private final Duration delay;
    private final End first;
    private final End second;
    private boolean dropsMessages;
    private boolean isClosed;
    private long configurationBytes;

    private VirtualConfigurationLink(
            VirtualScheduler scheduler, Duration delay, ConfigurationExchange first, ConfigurationExchange second) {
        this.scheduler = scheduler;
        this.delay = delay;
        this.first = new End(second);
        this.second = new End(first);
    }

    /** Creates a link with the given one-way delay and adds it to both exchanges. */
    public static VirtualConfigurationLink connect(
            VirtualScheduler scheduler, Duration delay, ConfigurationExchange first, ConfigurationExchange second) {
        VirtualConfigurationLink link = new VirtualConfigurationLink(scheduler, delay, first, second);
        first.addPeer(link.first);
        second.addPeer(link.second);
        return link;
    }

    /** Sets whether messages in both directions are dropped, including messages already on the way. */
    public void setDropsMessages(boolean value) {
        this.dropsMessages = value;
    }

    /** Closes the link and removes it from both exchanges. */
    public void close() {
        isClosed = true;
        second.receiver.removePeer(first);
        first.receiver.removePeer(second);
    }

    /** Returns the number of bytes of configuration content that were sent in both directions, dropped ones included. */
    public long configurationBytes() {
        return configurationBytes;
    }

    private void deliver(ConfigurationExchange receiver, Consumer<ConfigurationExchange> message) {
        if (!dropsMessages && !isClosed) {
            scheduler.schedule(delay, () -> {
                if (!dropsMessages && !isClosed) {
                    message.accept(receiver);
                }
            });
        }
    }

    /** Peer as seen from one end. Messages to it are delivered to the receiver as messages from the opposite end. */
    private final class End implements ConfigurationPeer {
        private final ConfigurationExchange receiver;

        private End(ConfigurationExchange receiver) {
            this.receiver = receiver;
        }

        @Override
        public void sendOffer(Revision revision) {
            deliver(receiver, exchange -> exchange.onOffer(opposite(), revision));
        }

        @Override
        public void sendPull(Revision above) {
            deliver(receiver, exchange -> exchange.onPull(opposite(), above));
        }

        @Override
        public void sendPiece(Revision revision, int index, int count, byte[] content) {
            configurationBytes += content.length;
            deliver(receiver, exchange -> exchange.onPiece(opposite(), revision, index, count, content));
        }

        private End opposite() {
            return this == first ? second : first;
        }
    }
}
