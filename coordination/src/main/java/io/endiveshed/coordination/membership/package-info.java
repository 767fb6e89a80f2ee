/** Membership: the targets and entries that a process knows, and their states. */
package io.endiveshed.coordination.membership;
