/** Estimates of prompt tokens and engine time, corrected by observations. */
package io.endiveshed.coordination.cost;
