package io.endiveshed.coordination.routing;

/**
 * Outstanding work that a sidecar reported to one entry.
 *
 * @param sequence sequence number of the report; a report older than the last one is ignored
 * @param total work of all entries on the target
 * @param own part of the total that the receiving entry sent
 * @param freeKvTokens KV memory that is neither used nor reserved nor needed by queued requests, in tokens
 */
public record WorkReport(long sequence, BandWork total, BandWork own, long freeKvTokens) {
    /** Report that is assumed for a target before its first one: no work and unlimited memory. */
    public static final WorkReport NONE = new WorkReport(0, BandWork.NONE, BandWork.NONE, Long.MAX_VALUE);

    /** Returns the work of the other entries. */
    public BandWork others() {
        return total.minus(own);
    }
}
