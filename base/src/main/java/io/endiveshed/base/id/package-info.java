/** Value types for ids. The constructors of names, keys and numbers reject malformed values. */
package io.endiveshed.base.id;
