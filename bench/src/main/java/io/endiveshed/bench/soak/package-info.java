/** Bounded soak of real processes under faults, with checks on the history of calls and executions. */
package io.endiveshed.bench.soak;
