/** Choice of a target for a request. */
package io.endiveshed.coordination.routing;
