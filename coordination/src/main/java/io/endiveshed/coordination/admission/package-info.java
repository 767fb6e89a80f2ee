/** Admission of requests by deadline, predicted wait, memory and fair share, and the scheduling of their attempts. */
package io.endiveshed.coordination.admission;
