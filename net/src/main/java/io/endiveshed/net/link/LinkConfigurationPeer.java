package io.endiveshed.net.link;

import io.endiveshed.base.id.Revision;
import io.endiveshed.ports.peer.ConfigurationPeer;
import io.endiveshed.ports.peer.ConfigurationReceiver;
import io.endiveshed.protocol.Message;

/**
 * Exchanges the configuration over a link.
 *
 * @param link link to the peer
 */
public record LinkConfigurationPeer(Link link) implements ConfigurationPeer {
    /** Hands a message about the configuration to the receiver; returns false for any other message. */
    public boolean deliver(Message message, ConfigurationReceiver receiver) {
        if (message instanceof Message.ConfigOffer offer) {
            receiver.onOffer(this, new Revision(offer.revision()));
        } else if (message instanceof Message.ConfigPull pull) {
            receiver.onPull(this, new Revision(pull.above()));
        } else if (message instanceof Message.ConfigPiece piece) {
            receiver.onPiece(this, new Revision(piece.revision()), piece.index(), piece.count(), piece.bytes());
        } else {
            return false;
        }
        return true;
    }

    @Override
    public void sendOffer(Revision revision) {
        link.send(new Message.ConfigOffer(revision.value()));
    }

    @Override
    public void sendPull(Revision above) {
        link.send(new Message.ConfigPull(above.value()));
    }

    @Override
    public void sendPiece(Revision revision, int index, int count, byte[] bytes) {
        link.send(new Message.ConfigPiece(revision.value(), index, count, bytes));
    }
}
