/** Sidecar: runs beside one target, queues its calls and serves entry daemons. */
package io.endiveshed.sidecar;
