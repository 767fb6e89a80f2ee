/**
 * At-most-once execution of non-idempotent calls, by a partitioned claim log in the platform's object store.
 *
 * <p>{@link ClaimLog} is the entry point. The protocol and its assumptions are described in {@code docs/claims.md}.
 */
package io.endiveshed.coordination.claim;
