/** Order and memory of the requests that wait beside a target. */
package io.endiveshed.coordination.queueing;
