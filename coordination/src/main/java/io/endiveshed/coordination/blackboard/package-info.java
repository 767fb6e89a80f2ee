/** Immutable snapshots that controllers write and every component reads without locks. */
package io.endiveshed.coordination.blackboard;
