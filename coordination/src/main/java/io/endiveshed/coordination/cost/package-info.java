/** Estimates of prompt tokens and of engine time, corrected by observations. */
package io.endiveshed.coordination.cost;
