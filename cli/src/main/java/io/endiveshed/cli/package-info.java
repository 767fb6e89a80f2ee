/** The endiveshed binary: entry daemon and operator commands. */
package io.endiveshed.cli;
