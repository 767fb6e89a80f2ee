/**
 * Coordination library: decisions about routing, limits, membership, leases, claims and configuration.
 *
 * <p>It opens no connection and starts no thread; clocks and randomness are passed in, so that the same code runs in the
 * daemons, in virtual time and in other projects.
 */
package io.endiveshed.coordination;
