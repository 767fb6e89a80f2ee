package io.endiveshed.ports.peer;

import io.endiveshed.base.id.Revision;

/** The other end of a link. Two objects for the same link are equal. Messages to a closed link are dropped. */
public interface ConfigurationPeer {
    /** Announces the revision in effect here. */
    void sendOffer(Revision revision);

    /** Asks for the newest configuration, as a change from a revision that is in effect here. */
    void sendPull(Revision above);

    /** Sends a part of a configuration. */
    void sendPiece(Revision revision, int index, int count, byte[] bytes);
}
