package io.endiveshed.net.link;

import java.net.InetSocketAddress;

/** Opens links to entry daemons. */
@FunctionalInterface
public interface Dialer {
    /**
     * Opens a link without blocking; notifies the listener of the open link, or runs the action if it cannot be opened.
     */
    void dial(InetSocketAddress address, LinkListener listener, Runnable whenFailed);
}
