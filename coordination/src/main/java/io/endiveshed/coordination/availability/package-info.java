/** Whether a target may get a request now, and if not, why and for how long. */
package io.endiveshed.coordination.availability;
