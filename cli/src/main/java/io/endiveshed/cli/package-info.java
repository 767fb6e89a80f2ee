/** Command line of the {@code endiveshed} binary, which runs the entry daemon and the commands for operators. */
package io.endiveshed.cli;
