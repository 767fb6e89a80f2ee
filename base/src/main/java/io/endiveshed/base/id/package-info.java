/** Value types for ids. Each checks its form when made, so that an id that exists is well formed. */
package io.endiveshed.base.id;
