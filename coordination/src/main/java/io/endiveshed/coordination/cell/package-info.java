/** Values that are replaced as a whole, so that readers need no lock. */
package io.endiveshed.coordination.cell;
