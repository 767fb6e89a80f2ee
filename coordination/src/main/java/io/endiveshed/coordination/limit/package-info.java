/** Limits on requests that targets name, and how entries divide them. */
package io.endiveshed.coordination.limit;
