/** Selection of a target for each request, by predicted time, outstanding work and target health. */
package io.endiveshed.coordination.routing;
