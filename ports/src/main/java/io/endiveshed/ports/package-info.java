/** Ports to the systems outside: the platform and the engines. Each is as narrow as its users allow. */
package io.endiveshed.ports;
