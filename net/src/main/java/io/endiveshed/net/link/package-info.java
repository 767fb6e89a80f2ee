/** Framed links between entry daemons and sidecars, with mutual proof of a shared secret. */
package io.endiveshed.net.link;
