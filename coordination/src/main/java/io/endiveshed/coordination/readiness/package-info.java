/** When a process says that it can serve. */
package io.endiveshed.coordination.readiness;
