/** Typed errors whose messages name the remedy and whose outcome says whether the request ran. */
package io.endiveshed.base.error;
