/** Framed TCP links between entry daemons and sidecars, which authenticate each other with a shared secret. */
package io.endiveshed.net.link;
