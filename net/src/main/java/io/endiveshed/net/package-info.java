/** Netty transports: the HTTP server and client and the framed links between entry daemons and sidecars. */
package io.endiveshed.net;
