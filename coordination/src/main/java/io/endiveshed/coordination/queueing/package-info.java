/** Queues of the requests that wait for a target: their order, and the reservation of KV memory. */
package io.endiveshed.coordination.queueing;
