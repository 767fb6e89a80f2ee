/** Ports to the platform and to the targets. */
package io.endiveshed.ports;
