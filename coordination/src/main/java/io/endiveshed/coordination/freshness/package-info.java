/** How old the knowledge of a process is. */
package io.endiveshed.coordination.freshness;
