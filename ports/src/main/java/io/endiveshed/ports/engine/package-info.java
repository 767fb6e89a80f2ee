/** Port to model engines, apart from completions, which are passed on as HTTP. */
package io.endiveshed.ports.engine;
