/** Attribution of crashes of targets to what their requests have in common. */
package io.endiveshed.coordination.crash;
