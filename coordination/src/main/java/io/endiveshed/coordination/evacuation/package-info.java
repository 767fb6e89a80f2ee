/** Failure domains whose targets get no new work by order of the operator. */
package io.endiveshed.coordination.evacuation;
