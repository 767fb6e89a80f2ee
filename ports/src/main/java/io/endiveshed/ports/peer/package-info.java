/** Port to the other end of a link, over which processes exchange the configuration. */
package io.endiveshed.ports.peer;
