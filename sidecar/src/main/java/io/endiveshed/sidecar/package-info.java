/** Sidecar process beside one target. */
package io.endiveshed.sidecar;
