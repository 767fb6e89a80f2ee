package io.endiveshed.net.link;

import java.net.InetSocketAddress;

/** Opens links to entry daemons. */
@FunctionalInterface
public interface Dialer {
    /** Opens a link; runs the action if that fails. Otherwise the listener hears of the link. */
    void dial(InetSocketAddress address, LinkListener listener, Runnable whenFailed);
}
