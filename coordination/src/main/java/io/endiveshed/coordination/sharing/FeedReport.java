package io.endiveshed.coordination.sharing;

import java.util.OptionalLong;

/**
 * What an entry that reads a feed of the store reports to its peers in the failure domain.
 *
 * @param feed name of the feed
 * @param era number of the era of the store
 * @param version version of the store up to which the objects are known
 * @param digest digest over name and version of each object, see {@link ObjectDigest}
 * @param ageMillis time in milliseconds since these objects were last confirmed; empty if they are not confirmed
 * @param outageMillis time in milliseconds since the start of the last failed call of a recent outage of the store that
 *     has ended; empty if there was none
 */
public record FeedReport(
        String feed, long era, long version, long digest, OptionalLong ageMillis, OptionalLong outageMillis) {}
