package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.sharing.FeedReport;
import java.nio.ByteBuffer;
import java.util.List;

/** Datagrams by which entries of a failure domain share what they read from the store. */
sealed interface SharingMessage {
    /**
     * Asks an entry to read the store for the sender.
     *
     * @param number random number that the answers repeat
     */
    record Question(long number) implements SharingMessage {}

    /**
     * Answer to a question, sent whenever the feeds of the sender change or are confirmed.
     *
     * @param number number of the last question of the receiver
     * @param feeds what the sender knows of each feed
     * @param changes packed changes of one feed that precede the reports, see {@link SharingCodec#packChanges}; empty if
     *     there are none
     */
    record Answer(long number, List<FeedReport> feeds, ByteBuffer changes) implements SharingMessage {}
}
