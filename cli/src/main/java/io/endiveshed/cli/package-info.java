/** The {@code endiveshed} binary: the entry daemon and the operators' commands. */
package io.endiveshed.cli;
