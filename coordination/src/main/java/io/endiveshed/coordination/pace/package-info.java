/** Adaptive slow start: how much a target that has started or recovered may have open, from what its answers say. */
package io.endiveshed.coordination.pace;
