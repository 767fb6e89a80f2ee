/** The production commands. */
package io.endiveshed.cli.internal;
