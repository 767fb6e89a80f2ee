package io.endiveshed.standins;

/** What goes wrong with one call to the store. */
public enum StoreFault {
    /** Nothing. */
    NONE,
    /** The call is refused and has no effect. */
    UNAVAILABLE,
    /** The call has no effect, and the caller cannot know. */
    LOST_REQUEST,
    /** The call takes effect, and the caller cannot know. */
    LOST_REPLY
}
