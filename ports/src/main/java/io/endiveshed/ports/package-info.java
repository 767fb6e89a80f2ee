/**
 * Interfaces to the platform, to model engines and to peer processes. Each has only the operations that its users need.
 */
package io.endiveshed.ports;
