/** Architecture rules, specifications and history checks; tests only. */
package io.endiveshed.verification;
