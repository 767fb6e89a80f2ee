/** Timers, which are injected so that tests can use virtual time, and opening hours. */
package io.endiveshed.base.time;
