/** Network transports on Netty: HTTP server, HTTP client, and framed links between entry daemons and sidecars. */
package io.endiveshed.net;
