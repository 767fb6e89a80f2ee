/** Virtual-time policy harness and load tools; development only. */
package io.endiveshed.bench;
