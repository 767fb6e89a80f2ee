/** Orders to engines: their fencing, and the controller that keeps the number of replicas of each model. */
package io.endiveshed.coordination.orders;
