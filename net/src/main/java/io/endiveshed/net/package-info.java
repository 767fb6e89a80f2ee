/** Netty transports: HTTP server and clients, framed links. */
package io.endiveshed.net;
