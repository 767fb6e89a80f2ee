/** Log of events as JSON lines. */
package io.endiveshed.base.log;
