/** Sidecar: runs beside one target, queues its work and answers to entry daemons. */
package io.endiveshed.sidecar;
