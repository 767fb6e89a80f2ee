package io.endiveshed.net.link.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.atomic.AtomicInteger;

/** Bounds and counts what peers of links can cost before they have proved who they are. */
public final class LinkGuard {
    /** Time in which a peer must prove who it is, in seconds; a handshake takes two round trips. */
    public static final int HANDSHAKE_TIMEOUT_SECONDS = 5;

    /** Most links that wait for their handshake; an entry has about 490 sidecars with two links each. */
    private static final int MAX_HANDSHAKES = 2_048;

    private final AtomicInteger handshakes = new AtomicInteger();
    private final Counter refused;
    private final Counter late;
    private final Counter malformed;

    /** Makes a guard that counts in the registry. */
    public LinkGuard(MetricRegistry registry) {
        this.refused = registry.counter("links.refused");
        this.late = registry.counter("links.handshake_timeouts");
        this.malformed = registry.counter("links.malformed_frames");
    }

    boolean startHandshake() {
        if (handshakes.incrementAndGet() <= MAX_HANDSHAKES) {
            return true;
        }
        refused.inc();
        return false;
    }

    void endHandshake() {
        handshakes.decrementAndGet();
    }

    void handshakeLate() {
        late.inc();
    }

    void malformedFrame() {
        malformed.inc();
    }
}
