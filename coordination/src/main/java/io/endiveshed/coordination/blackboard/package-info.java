/** Immutable snapshots that controllers write and every part reads without locks. */
package io.endiveshed.coordination.blackboard;
