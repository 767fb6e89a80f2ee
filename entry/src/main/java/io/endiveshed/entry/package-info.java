/** Entry daemon: answers callers and sends their requests to targets through sidecars. */
package io.endiveshed.entry;
