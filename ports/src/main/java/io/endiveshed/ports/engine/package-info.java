/** Interface to model engines, except for completions, which are forwarded as HTTP requests. */
package io.endiveshed.ports.engine;
