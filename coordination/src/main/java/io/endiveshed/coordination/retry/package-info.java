/** Policies and budgets for retries and hedged attempts. */
package io.endiveshed.coordination.retry;
