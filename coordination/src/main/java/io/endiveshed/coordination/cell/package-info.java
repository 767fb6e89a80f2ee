/** Immutable values that are shared between threads and replaced atomically, so that readers need no lock. */
package io.endiveshed.coordination.cell;
