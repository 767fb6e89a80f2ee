package io.endiveshed.ports.peer;

import io.endiveshed.base.id.Revision;

/** Receives what peers send. */
public interface ConfigurationReceiver {
    /** Called when a peer announces its revision. */
    void offered(ConfigurationPeer peer, Revision revision);

    /** Called when a peer asks for the newest configuration. */
    void pulled(ConfigurationPeer peer, Revision above);

    /** Called with a part of a configuration. */
    void received(ConfigurationPeer peer, Revision revision, int index, int count, byte[] bytes);
}
