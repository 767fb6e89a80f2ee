/** Readiness of a process to serve requests. */
package io.endiveshed.coordination.readiness;
