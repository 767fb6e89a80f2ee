/** Life cycle of a process. */
package io.endiveshed.base.process;
