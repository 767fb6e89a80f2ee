/** Monotonic time and timers, injected so that tests run in virtual time. */
package io.endiveshed.base.time;
