package io.endiveshed.coordination.config;

import io.endiveshed.base.id.Revision;

/**
 * Why a configuration was not published.
 *
 * @param kind kind of error
 * @param current revision that the store holds, or {@link Revision#NONE} if it is not known
 */
public record PublishError(Kind kind, Revision current) {
    /** Kinds of error. */
    public enum Kind {
        /** Another operator's configuration was applied meanwhile. Nothing of this one is in effect. */
        LOST_RACE,
        /** The store holds another revision than the one on which the change is based. Nothing was written. */
        OTHER_BASE,
        /** The store did not accept the calls. The configuration is not in effect. */
        STORE_UNAVAILABLE,
        /** The reply to the last write was lost and the store could not be read since. */
        UNCERTAIN,
        /** A piece or the head exceeds the longest value of the store. */
        TOO_LARGE
    }
}
