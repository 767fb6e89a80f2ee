/** Coordination library: routing, limits, membership, leases, claims and configuration, free of I/O. */
package io.endiveshed.coordination;
