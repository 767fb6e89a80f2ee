package io.endiveshed.coordination.service;

import java.net.InetSocketAddress;

/**
 * Network address of a target or another process.
 *
 * @param host IP address
 * @param port TCP port, 1 to 65,535
 */
public record Endpoint(String host, int port) {
    /**
     * Parses an address of the form {@code HOST:PORT}.
     *
     * @throws IllegalArgumentException if the text has another form or the port is out of range
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("address must have the form HOST:PORT, but was \"" + text + "\"");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port must be 1 to 65535, but was " + port);
        }
        return new Endpoint(text.substring(0, colon), port);
    }

    /** Returns the socket address; does no name lookup if the host is an IP address. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
