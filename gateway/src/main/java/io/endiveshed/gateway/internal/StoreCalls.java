package io.endiveshed.gateway.internal;

/** Counts calls to the store. */
interface StoreCalls {
    /** Called with the name of the feed and the kind of each call; a list of several pages counts once. */
    void called(String feed, Kind kind);

    /** Kinds of calls to the store. */
    enum Kind {
        LIST,
        WATCH,
        WRITE
    }
}
