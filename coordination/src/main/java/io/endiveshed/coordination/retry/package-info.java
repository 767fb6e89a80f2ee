/** Budgets and rules for retries and hedged attempts. */
package io.endiveshed.coordination.retry;
