package io.endiveshed.ports.peer;

import io.endiveshed.base.id.Revision;

/** Receives what peers send. */
public interface ConfigurationReceiver {
    /** Called when a peer announces its revision. */
    void onOffer(ConfigurationPeer peer, Revision revision);

    /** Called when a peer asks for the newest configuration. */
    void onPull(ConfigurationPeer peer, Revision above);

    /** Called with a part of a configuration. */
    void onPiece(ConfigurationPeer peer, Revision revision, int index, int count, byte[] bytes);
}
