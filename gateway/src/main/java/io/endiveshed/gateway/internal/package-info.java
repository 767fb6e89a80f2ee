/** Implementation of the gateway. */
package io.endiveshed.gateway.internal;
