/** Leases with fencing tokens, kept as objects in the platform's store. */
package io.endiveshed.coordination.lease;
