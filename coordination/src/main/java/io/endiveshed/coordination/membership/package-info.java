/** What a process knows of the targets and their state. */
package io.endiveshed.coordination.membership;
