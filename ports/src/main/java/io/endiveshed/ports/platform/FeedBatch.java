package io.endiveshed.ports.platform;

import java.util.List;

/**
 * Objects of one kind, or changes to them.
 *
 * @param events listed objects, or changes in their order
 * @param upTo version of the store from which the next watch continues
 * @param era era of the store to which the versions belong
 * @param <T> type of the decoded objects
 */
public record FeedBatch<T>(List<FeedEvent<T>> events, long upTo, StoreEra era) {
    /** Creates a batch with a copy of the list. */
    public FeedBatch {
        events = List.copyOf(events);
    }

    /** Creates a batch of a store that was never restored. */
    public FeedBatch(List<FeedEvent<T>> events, long upTo) {
        this(events, upTo, StoreEra.FIRST);
    }
}
