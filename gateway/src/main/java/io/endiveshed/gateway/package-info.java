/** Entry that forwards HTTP requests to targets which have no sidecar. */
package io.endiveshed.gateway;
