/** Interfaces through which processes exchange the configuration with the peer at the other end of a link. */
package io.endiveshed.ports.peer;
