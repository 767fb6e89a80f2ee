package io.endiveshed.coordination.config;

import io.endiveshed.base.id.Revision;

/**
 * Reason why a configuration was not published.
 *
 * @param kind kind of error
 * @param current current revision in the store, or {@link Revision#NONE} if it is not known
 */
public record PublishError(Kind kind, Revision current) {
    /** Kinds of error. */
    public enum Kind {
        /** Another operator published a configuration at the same time. Nothing of this one is in effect. */
        LOST_RACE,
        /** The change is not based on the current revision. Nothing was written. */
        OTHER_BASE,
        /** The store could not be read or did not accept the pieces. The configuration is not in effect. */
        STORE_UNAVAILABLE,
        /**
         * Whether the head was written is not known, because its reply was lost or the store could not be read
         * afterwards.
         */
        UNCERTAIN,
        /** A piece or the head exceeds the maximum size of a value in the store. */
        TOO_LARGE
    }
}
