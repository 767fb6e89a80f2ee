/** Decision whether a request is accepted, by deadline, predicted wait, memory and fair share. */
package io.endiveshed.coordination.admission;
