/** Types that every module shares: ids, typed errors, the event log, timers and handlers of process signals. */
package io.endiveshed.base;
