/** Age of the state that a process has read from elsewhere. */
package io.endiveshed.coordination.freshness;
