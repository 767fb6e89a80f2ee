/** Limits on the requests to targets that name one or are cold, and how entries divide them. */
package io.endiveshed.coordination.limit;
