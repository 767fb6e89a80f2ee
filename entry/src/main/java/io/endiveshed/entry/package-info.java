/** Entry daemon: accepts requests of callers and dispatches them to targets through sidecars. */
package io.endiveshed.entry;
