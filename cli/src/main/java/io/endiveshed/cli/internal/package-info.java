/** Commands of the {@code endiveshed} binary that are used in production. */
package io.endiveshed.cli.internal;
