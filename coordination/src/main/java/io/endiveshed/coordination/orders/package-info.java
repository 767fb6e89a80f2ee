/** Orders to engines: fencing of stale orders, and the controller of the number of replicas of each model. */
package io.endiveshed.coordination.orders;
