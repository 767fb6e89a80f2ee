package io.endiveshed.coordination.routing;

/**
 * Outstanding work that a sidecar reported to one entry.
 *
 * @param sequence number of the report; an older report than the last is ignored
 * @param total work of all entries on the target
 * @param own part of it that the receiving entry sent
 * @param freeKvTokens KV memory that is neither used nor reserved nor claimed by queued requests, in tokens
 */
public record WorkReport(long sequence, BandWork total, BandWork own, long freeKvTokens) {
    /** What is assumed of a target that has not reported yet. */
    public static final WorkReport NONE = new WorkReport(0, BandWork.NONE, BandWork.NONE, Long.MAX_VALUE);

    /** Returns the work of the other entries. */
    public BandWork others() {
        return total.minus(own);
    }
}
