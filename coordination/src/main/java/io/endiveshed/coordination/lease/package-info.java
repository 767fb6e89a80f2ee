/** Leases with fencing tokens, stored as objects in the platform's object store. */
package io.endiveshed.coordination.lease;
