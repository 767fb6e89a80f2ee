/** Typed errors, each with a message, a remedy and an outcome that tells whether the request ran. */
package io.endiveshed.base.error;
