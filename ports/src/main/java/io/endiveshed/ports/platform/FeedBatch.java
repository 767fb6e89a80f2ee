package io.endiveshed.ports.platform;

import java.util.List;

/**
 * Objects or changes of one kind.
 *
 * @param events objects of a list, or changes in their order
 * @param upTo version of the store from which a watch goes on
 * @param <T> type of the decoded objects
 */
public record FeedBatch<T>(List<FeedEvent<T>> events, long upTo) {
    /** Copies the list. */
    public FeedBatch {
        events = List.copyOf(events);
    }
}
