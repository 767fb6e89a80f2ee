/** Handling of the signals that stop a process or reload its settings. */
package io.endiveshed.base.process;
