/** Structured log lines. */
package io.endiveshed.base.log;
