package io.endiveshed.net.link.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.atomic.AtomicInteger;

/** Limits the number and time of handshakes with peers that are not authenticated, and counts their faults. */
public final class LinkGuard {
    /** Maximum time, in seconds, in which a peer must authenticate itself; a handshake takes two round trips. */
    public static final int HANDSHAKE_TIMEOUT_SECONDS = 5;

    /** Maximum number of links in their handshake; an entry daemon has about 490 sidecars with two links each. */
    private static final int MAX_CONCURRENT_HANDSHAKES = 2_048;

    private final AtomicInteger concurrentHandshakes = new AtomicInteger();
    private final Counter refusedLinks;
    private final Counter handshakeTimeouts;
    private final Counter malformedFrames;

    /** Creates a guard that counts refused links, handshake timeouts and malformed frames in the registry. */
    public LinkGuard(MetricRegistry registry) {
        this.refusedLinks = registry.counter("links.refused");
        this.handshakeTimeouts = registry.counter("links.handshake_timeouts");
        this.malformedFrames = registry.counter("links.malformed_frames");
    }

    /**
     * Counts the start of a handshake; returns false if too many are in progress. The end must be counted either way.
     */
    boolean tryStartHandshake() {
        if (concurrentHandshakes.incrementAndGet() <= MAX_CONCURRENT_HANDSHAKES) {
            return true;
        }
        refusedLinks.inc();
        return false;
    }

    void endHandshake() {
        concurrentHandshakes.decrementAndGet();
    }

    void countHandshakeTimeout() {
        handshakeTimeouts.inc();
    }

    void countMalformedFrame() {
        malformedFrames.inc();
    }
}
