package io.endiveshed.ports.platform;

import java.util.Optional;

/**
 * One object as of a version of the store.
 *
 * @param name its name
 * @param version version of its last change
 * @param value its content; empty if it was deleted or cannot be read
 * @param <T> type of the content
 */
public record FeedEvent<T>(String name, long version, Optional<T> value) {}
