package io.endiveshed.ports.platform;

import java.util.Optional;

/**
 * State of one object at a version of the store.
 *
 * @param name name of the object
 * @param version version of the store at the object's last change
 * @param value decoded content; empty if the object was deleted or cannot be decoded
 * @param isUnreadable whether the object exists and cannot be decoded
 * @param source specification in the form of the store, if it is kept; empty if the object was deleted
 * @param <T> type of the decoded content
 */
public record FeedEvent<T>(
        String name, long version, Optional<T> value, boolean isUnreadable, Optional<String> source) {
    /** Creates the event of an object that was decoded, or of one that was deleted. */
    public FeedEvent(String name, long version, Optional<T> value) {
        this(name, version, value, false, Optional.empty());
    }

    /** Returns the event of an object that exists and cannot be decoded. */
    public static <T> FeedEvent<T> unreadable(String name, long version) {
        return new FeedEvent<>(name, version, Optional.empty(), true, Optional.empty());
    }

    /** Returns this event with the specification in the form of the store. */
    public FeedEvent<T> withSource(String text) {
        return new FeedEvent<>(name, version, value, isUnreadable, Optional.of(text));
    }
}
