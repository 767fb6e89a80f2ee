/** Entry that forwards HTTP requests to targets that run without a sidecar. */
package io.endiveshed.gateway;
